import type { ParsedRow, Row } from 'knapweedshunt-platform'
import type { Resource, ResourceChange, Revision } from 'knapweedshunt-types'
import { RESOURCE_KINDS } from 'knapweedshunt-types'
import { describeFirstIssue } from 'knapweedshunt-utils'
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

/** Parses the row of a change, which must lie under the key of its revision. */
export function parseChangeRow (row: Row): ParsedRow<ResourceChange> {
  return parseRow(row, changeRowSchema, change => buildChangeKey(change.revision))
}

/** Parses the row of a resource, which must lie under the key of its kind and name. */
export function parseResourceRow (row: Row): ParsedRow<Resource> {
  return parseRow(row, resourceSchema, ({ kind, name }) => `${ROW_PREFIX}${kind}/${name}`)
}

/** Parses a row that holds a revision, as the head and the change ids do. */
export function parseRevisionRow (row: Row): ParsedRow<{ revision: Revision }> {
  return parseRow(row, revisionRowSchema, () => row.key)
}

function parseRow<T> ({ key, value }: Row, schema: z.ZodType<T>, buildKey: (value: T) => string): ParsedRow<T> {
  const result = schema.safeParse(value)
  if (!result.success) return { type: 'unreadable', reason: describeFirstIssue(result.error) }
  const ownKey = buildKey(result.data)
  return key === ownKey ? { type: 'row', value: result.data } : { type: 'unreadable', reason: `belongs under the key ${ownKey}` }
}
