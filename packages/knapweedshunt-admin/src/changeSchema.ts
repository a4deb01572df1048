import { RESOURCE_KINDS } from 'knapweedshunt-types'
import { z } from 'zod'

const MAX_OPS = 5_000

/** Body of `POST /v1/changes`. */
export const changeSchema = z.strictObject({
  changeId: z.string().min(8).max(64),
  expectedRevision: z.number().int().nonnegative().nullable().default(null),
  ops: z.array(z.discriminatedUnion('type', [
    z.strictObject({ type: z.literal('put'), resource: z.unknown() }),
    z.strictObject({ type: z.literal('delete'), kind: z.enum(RESOURCE_KINDS), name: z.string().min(1) })
  ])).min(1).max(MAX_OPS)
})
