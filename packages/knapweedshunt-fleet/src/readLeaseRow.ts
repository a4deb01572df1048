import type { Row } from 'knapweedshunt-platform'
import { describeFirstIssue } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { LeaseRow } from './leaseState.ts'

/** Longest validity of a lease that is accepted, in milliseconds. */
const MAX_DURATION_MS = 300_000

/** Highest fencing token that is accepted; it can still be incremented exactly for as long as leases are taken. */
const MAX_FENCING = 2 ** 48

const text = z.string().max(255)

const leaseRowSchema = z.object({
  holder: text,
  fencing: z.number().int().nonnegative().max(MAX_FENCING),
  durationMs: z.number().nonnegative().max(MAX_DURATION_MS),
  nonce: text
}) satisfies z.ZodType<LeaseRow>

/**
 * Reads the row of a lease. One that cannot be read counts as the lease of an unknown holder, which expires `durationMs`
 * after it was first seen: it may have replaced the row of a holder that sends commands. Its token is the row's version,
 * which is no lower than any token written before, as each took a write. `onUnreadable` is called with the reason.
 */
export function readLeaseRow ({ value, version }: Row, durationMs: number, onUnreadable: (reason: string) => void): LeaseRow {
  const result = leaseRowSchema.safeParse(value)
  if (!result.success) onUnreadable(describeFirstIssue(result.error))
  return result.success ? result.data : { holder: '', fencing: version, durationMs, nonce: `unreadable ${version}` }
}
