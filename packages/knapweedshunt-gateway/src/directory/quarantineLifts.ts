import { quarantineLiftSchema } from 'knapweedshunt-attempts'
import type { QuarantineLift } from 'knapweedshunt-attempts'
import type { ChangedRow, Platform, Row, TableUpdate } from 'knapweedshunt-platform'
import { describeFirstIssue } from 'knapweedshunt-utils'
import { computeAgeMs } from './computeAgeMs.ts'
import { ROSTER_KEY, ROSTER_TABLE } from './rosterRows.ts'
import { SUSPECT_OPTIONS } from './suspectOptions.ts'

/** Time for which a lift holds, in milliseconds: older marks and reports do not outlive it, with clocks that differ by seconds. */
export const LIFT_MS = SUSPECT_OPTIONS.quarantineMs + SUSPECT_OPTIONS.suspectMs + 10_000

/** Time after a lift up to which a VM that learns of it takes a crash for an earlier one, in milliseconds: clocks differ, and the row takes a moment to arrive. */
const LIFT_TOLERANCE_MS = 5_000

/** Time after which any VM writes a lost lift again, in milliseconds. */
const TAKEOVER_MS = 2_500

/** A lift as a VM learns of it. */
export interface ReceivedLift {
  lift: QuarantineLift
  /** Time since it was made, by the wall clocks of the operator and this VM, in milliseconds. */
  ageMs: number
  /** Monotonic time up to which crashes no longer count, in milliseconds. */
  liftedAtMs: number
}

/** Dependencies of {@link QuarantineLifts}. */
export interface QuarantineLiftsDependencies {
  platform: Platform
  /** Whether this VM writes the rows that belong to no single VM. */
  isSharedWriter (): boolean
  onLift (received: ReceivedLift): void
  /** Called when the store no longer has a lift, or has an older one. */
  onLost (key: string, lift: QuarantineLift): void
  onUnreadable (key: string, reason: string): void
  /** Called when a row could not be written or deleted; that is tried again. */
  onUnwritten (key: string, reason: string): void
}

interface StoredLift {
  /** Null for a row that does not match the schema. */
  lift: QuarantineLift | null
  version: number
}

/**
 * Lifts of quarantines, which operators write to the store. A VM that has learnt of a lift applies it until it expires,
 * also if the store loses it; what the store has lost is written again, and what has expired is deleted.
 */
export class QuarantineLifts {
  readonly #dependencies: QuarantineLiftsDependencies
  readonly #known = new Map<string, QuarantineLift>()
  readonly #stored = new Map<string, StoredLift>()
  /** Monotonic times since which the store lacks lifts, by their ids. */
  readonly #lostSinceMs = new Map<string, number>()

  constructor (dependencies: QuarantineLiftsDependencies) {
    this.#dependencies = dependencies
  }

  /** Applies changes to the roster table. */
  applyUpdate (update: TableUpdate): void {
    if (update.type === 'rows') this.#stored.clear()
    for (const row of update.rows) if (row.key.startsWith(ROSTER_KEY.lift)) this.#applyRow(row)
    for (const { key, lift } of this.#listLost()) this.#recordLost(key, lift)
  }

  /** Writes again the lifts that the store has lost and deletes the expired ones, if this VM writes the rows that belong to no single VM. Other VMs write lifts that stay lost, since that VM may not know them. */
  async sweep (): Promise<void> {
    const isSharedWriter = this.#dependencies.isSharedWriter()
    const oldestMs = performance.now() - TAKEOVER_MS
    for (const { key, lift } of this.#listLost()) if (isSharedWriter || (this.#lostSinceMs.get(lift.id) ?? Infinity) <= oldestMs) await this.#write(key, lift)
    if (!isSharedWriter) return
    for (const [key, { lift }] of this.#stored) if (lift !== null && isExpired(lift)) await this.#write(key, null)
  }

  #applyRow (row: Row | ChangedRow): void {
    const { key, version, value } = row
    if ('isDeleted' in row && row.isDeleted) {
      this.#stored.delete(key)
      return
    }
    const result = quarantineLiftSchema.safeParse(value)
    this.#stored.set(key, { lift: result.success ? result.data : null, version })
    if (result.success) {
      this.#lostSinceMs.delete(result.data.id)
      return this.#applyLift(key, result.data)
    }
    this.#dependencies.onUnreadable(key, describeFirstIssue(result.error))
  }

  #applyLift (key: string, lift: QuarantineLift): void {
    const known = this.#known.get(key)
    if (isExpired(lift) || (known !== undefined && known.atMs >= lift.atMs)) return
    this.#known.set(key, lift)
    const ageMs = computeAgeMs(lift.atMs)
    this.#dependencies.onLift({ lift, ageMs, liftedAtMs: performance.now() - Math.max(0, ageMs - LIFT_TOLERANCE_MS) })
  }

  /** Lists the lifts in force that the store does not have. An unreadable row in the place of one is left as it is. */
  #listLost (): Array<{ key: string, lift: QuarantineLift }> {
    this.#dropExpired()
    return [...this.#known].flatMap(([key, lift]) => {
      const stored = this.#stored.get(key)
      const isStored = stored !== undefined && (stored.lift === null || stored.lift.atMs >= lift.atMs)
      return isStored ? [] : [{ key, lift }]
    })
  }

  #recordLost (key: string, lift: QuarantineLift): void {
    if (this.#lostSinceMs.has(lift.id)) return
    this.#lostSinceMs.set(lift.id, performance.now())
    this.#dependencies.onLost(key, lift)
  }

  /** A row that has changed meanwhile is left as it is, since the follower of the table applies it. */
  async #write (key: string, value: QuarantineLift | null): Promise<void> {
    const { platform, onUnwritten } = this.#dependencies
    const checks = [{ table: ROSTER_TABLE, key, version: this.#stored.get(key)?.version ?? 0 }]
    try {
      await platform.transact({ checks, writes: [value === null ? { type: 'delete', table: ROSTER_TABLE, key } : { type: 'put', table: ROSTER_TABLE, key, value }] })
    } catch (error) {
      onUnwritten(key, (error as Error).message)
    }
  }

  #dropExpired (): void {
    for (const [key, lift] of this.#known) {
      if (!isExpired(lift)) continue
      this.#known.delete(key)
      this.#lostSinceMs.delete(lift.id)
    }
  }
}

function isExpired (lift: QuarantineLift): boolean {
  return computeAgeMs(lift.atMs) >= LIFT_MS
}
