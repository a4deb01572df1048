import type { Row } from 'knapweedshunt-platform'
import type { Resource, ResourceChange, Revision } from 'knapweedshunt-types'
import { RESOURCE_KINDS } from 'knapweedshunt-types'
import { z } from 'zod'
import { resourceSchema } from './resourceSchema.ts'
import { buildChangeKey, ROW_PREFIX } from './storeRows.ts'

const revision = z.number().int().nonnegative()
const revisionRowSchema = z.object({ revision })
const changeRowSchema = z.object({
  revision,
  changeId: z.string(),
  ops: z.array(z.discriminatedUnion('type', [
    z.object({ type: z.literal('put'), resource: resourceSchema }),
    z.object({ type: z.literal('delete'), kind: z.enum(RESOURCE_KINDS), name: z.string() })
  ]))
})

/** Parses the row of a change; null when it cannot be read or lies under another key. */
export function parseChangeRow ({ key, value }: Row): ResourceChange | null {
  const result = changeRowSchema.safeParse(value)
  return result.success && key === buildChangeKey(result.data.revision) ? result.data : null
}

/** Parses the row of a resource; null when it cannot be read or lies under another key. */
export function parseResourceRow ({ key, value }: Row): Resource | null {
  const result = resourceSchema.safeParse(value)
  return result.success && key === `${ROW_PREFIX}${result.data.kind}/${result.data.name}` ? result.data : null
}

/** Parses a row that holds a revision, as the head and the change ids do; null when it cannot be read. */
export function parseRevisionRow ({ value }: Row): Revision | null {
  const result = revisionRowSchema.safeParse(value)
  return result.success ? result.data.revision : null
}
