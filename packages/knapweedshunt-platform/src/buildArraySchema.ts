import { z } from 'zod'

/** Like `z.array`, for answers of others: ends at the first item that does not match. What is wrong with an item takes hundreds of times its bytes. */
export function buildArraySchema<T extends z.ZodType> (item: T): z.ZodType<Array<z.output<T>>> {
  return z.array(z.unknown()).transform((values, context) => {
    const items: Array<z.output<T>> = []
    for (const value of values) {
      const result = item.safeParse(value)
      if (!result.success) {
        context.addIssue({ ...result.error.issues[0], code: 'custom', path: [items.length, ...result.error.issues[0].path] })
        return z.NEVER
      }
      items.push(result.data)
    }
    return items
  })
}
