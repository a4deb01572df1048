import { quarantineLiftSchema } from 'knapweedshunt-attempts'
import type { QuarantineLift } from 'knapweedshunt-attempts'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, Row } from 'knapweedshunt-platform'
import { createIncarnation, sleep } from 'knapweedshunt-utils'
import { formatLiftKey, ROSTER_TABLE } from '../directory/rosterRows.ts'

/** Number of times that the row is written before the lift fails. */
const MAX_WRITES = 5

/** Pause after a write without an answer, in milliseconds. */
const RETRY_DELAY_MS = 500

/** What an operator asks for. */
export type LiftRequest = Pick<QuarantineLift, 'target' | 'by' | 'reason'>

/**
 * Writes the row by which all VMs end the quarantine. Throws ZodError for a request that is not valid, such as one
 * without a reason, and PlatformError when the store does not accept the row.
 */
export async function liftQuarantine (platform: Platform, request: LiftRequest): Promise<QuarantineLift> {
  let lift = quarantineLiftSchema.parse({ ...request, id: createIncarnation(), atMs: Date.now() })
  const key = formatLiftKey(lift.target)
  for (let n = 1; ; n++) {
    const present = await platform.read(ROSTER_TABLE, key)
    if (hasId(present, lift.id)) return lift
    // A later lift has a later time, whatever the clocks of the operators say.
    lift = { ...lift, atMs: Math.max(lift.atMs, readTime(present) + 1) }
    try {
      const result = await platform.transact({ checks: [{ table: ROSTER_TABLE, key, version: present?.version ?? 0 }], writes: [{ type: 'put', table: ROSTER_TABLE, key, value: lift }] })
      if (result.type === 'committed') return lift
      if (n === MAX_WRITES) throw new PlatformUnreachableError('The row of the lift changed at each attempt to write it.')
    } catch (error) {
      if (n === MAX_WRITES || !(error instanceof PlatformUnreachableError)) throw error
      await sleep(RETRY_DELAY_MS)
    }
  }
}

function hasId (row: Row | null, id: string): boolean {
  const result = quarantineLiftSchema.safeParse(row?.value)
  return result.success && result.data.id === id
}

function readTime (row: Row | null): number {
  const result = quarantineLiftSchema.safeParse(row?.value)
  return result.success ? result.data.atMs : -1
}
