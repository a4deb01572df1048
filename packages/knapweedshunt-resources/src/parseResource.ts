import type { Resource } from 'knapweedshunt-types'
import { ResourceInvalidError } from './resourceErrors.ts'
import { resourceSchema } from './resourceSchema.ts'

/** Validates one declared resource and fills in defaults. Throws ResourceInvalidError with the first invalid field, its value and what is allowed. */
export function parseResource (input: unknown): Resource {
  const result = resourceSchema.safeParse(input)
  if (result.success) return result.data
  const issue = result.error.issues[0]
  const field = issue.path.join('.') || 'the resource'
  const value = issue.path.reduce<unknown>((part, key) => (part as Record<PropertyKey, unknown> | undefined)?.[key], input)
  throw new ResourceInvalidError(`${describeInput(input)}: ${field} is ${JSON.stringify(value) ?? 'missing'}: ${issue.message}.`)
}

function describeInput (input: unknown): string {
  const { kind, name } = (input ?? {}) as { kind?: unknown, name?: unknown }
  return `${String(kind ?? 'Resource')} ${String(name ?? '(no name)')}`
}
