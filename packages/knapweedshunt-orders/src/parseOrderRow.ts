import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Row } from 'knapweedshunt-platform'
import { describeFirstIssue } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { ClaimRow } from './claimRow.ts'
import type { OutcomeRow } from './outcomeRow.ts'

const time = z.number().int().nonnegative()

const claimRowSchema = z.object({
  state: z.enum(['claimed', 'released']),
  digest: z.string(),
  nonce: z.string(),
  owner: z.string(),
  claimedAtMs: time
}) satisfies z.ZodType<ClaimRow>

const outcomeRowSchema = z.object({
  ran: z.enum(['ran', 'not-run', 'may-have-run']),
  answer: z.object({ status: z.number().int(), contentType: z.string(), body: z.string() }).nullable(),
  digest: z.string(),
  owner: z.string(),
  recordedAtMs: time
}) satisfies z.ZodType<OutcomeRow>

/** Whether the claim of an order can be read. */
export function isClaimRow ({ value }: Row): boolean {
  return claimRowSchema.safeParse(value).success
}

/** Parses the claim of an order. Throws PlatformUnreachableError when it cannot be read: the order may have run. */
export function parseClaimRow (row: Row): ClaimRow {
  return parseRow(claimRowSchema, row)
}

/** Parses the outcome of an order. Throws PlatformUnreachableError when it cannot be read. */
export function parseOutcomeRow (row: Row): OutcomeRow {
  return parseRow(outcomeRowSchema, row)
}

function parseRow<T> (schema: z.ZodType<T>, { key, value }: Row): T {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  throw new PlatformUnreachableError(`The row ${key} cannot be read: ${describeFirstIssue(result.error)}`)
}
