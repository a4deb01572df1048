import type { QuarantineLift } from 'knapweedshunt-attempts'
import type { Platform } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'
import { hasLift, isTarget, listQuarantines } from './listQuarantines.ts'
import { readRoster } from './readRoster.ts'

/** Time within which VMs that reach the store withdraw the quarantine from their rows, in milliseconds. */
const WITHDRAWAL_MS = 5_000

const POLL_INTERVAL_MS = 500

/** What the rows of the VMs show after a lift. */
export interface WithdrawalResult {
  /** Whether the store has the lift; false if it returned to an older copy and no VM has written the lift again. */
  isStored: boolean
  /** VMs whose rows still hold what was lifted: they do not reach the store, have stopped, or do not know lifts. */
  vms: string[]
}

/** Waits until the VMs have withdrawn what was lifted, or {@link WITHDRAWAL_MS} have passed. Throws PlatformError. */
export async function waitUntilWithdrawn (platform: Platform, lift: QuarantineLift): Promise<WithdrawalResult> {
  const deadlineMs = performance.now() + WITHDRAWAL_MS
  for (;;) {
    const rows = await readRoster(platform)
    const held = listQuarantines(rows, Date.now()).filter(view => view.sinceMs <= lift.atMs && isTarget(view, lift.target))
    if (held.length === 0 || performance.now() > deadlineMs) return { isStored: hasLift(rows, lift), vms: [...new Set(held.flatMap(({ vms }) => vms))] }
    await sleep(POLL_INTERVAL_MS)
  }
}
