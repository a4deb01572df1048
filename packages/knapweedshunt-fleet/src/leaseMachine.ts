import type { FencingNumber, Incarnation } from 'knapweedshunt-types'
import { createIncarnation, readElapsedMs } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { LeaseOptions } from './leaseOptions.ts'
import type { LeaseRow } from './leaseState.ts'
import type { HeldLease, LeaseAction, LeaseEvent, PendingWrite, SeenLease } from './leaseTypes.ts'
import { LeaseWatch } from './leaseWatch.ts'

const MAX_PENDING = 16

/**
 * One contender for a lease. Decides only: takes events, returns actions, reads the clocks.
 *
 * - A holder counts its time from when it sent a write, so a write that takes effect late gives no time; time in which
 *   the VM was suspended counts too.
 * - A contender counts from when it saw the row change, by the monotonic clock, which a step of the time of day does not
 *   move: it ends later than the holder whatever the clocks say.
 * - Every write checks the version that was read, so of two writes after one read only one takes effect.
 */
export class LeaseMachine {
  readonly #holder: Incarnation
  readonly #options: LeaseOptions
  readonly #watch = new LeaseWatch()
  #held: HeldLease | null = null
  #pending: PendingWrite[] = []
  #isCalling = false
  #isReleasing = false
  #dueAtMs = 0
  /** Whether the row last read leaves no other holder whose orders could still run. */
  #isSuccessor = false

  constructor (holder: Incarnation, options: LeaseOptions) {
    this.#holder = holder
    this.#options = options
  }

  /** Fencing number while orders may be sent to an endpoint, else null. Ask again after every wait. */
  readFencing (checksFencing: boolean): FencingNumber | null {
    const now = readElapsedMs()
    const held = this.#held
    if (held === null || this.#isReleasing || now >= held.untilMs - this.#options.guardMs) return null
    if (!checksFencing && now < held.takenAtMs + this.#options.longestOrderMs) return null
    return held.fencing
  }

  /** Takes one event. */
  take (event: LeaseEvent): LeaseAction[] {
    return match(event)
      .with({ type: 'tick' }, () => this.#tick())
      .with({ type: 'rowRead' }, ({ seen }) => this.#takeRow(seen))
      .with({ type: 'rowUnread' }, { type: 'writeLost' }, () => this.#finishCall(this.#options.intervalMs))
      .with({ type: 'writeRefused' }, () => this.#finishCall(0))
      .with({ type: 'writeCommitted' }, () => this.#commit())
      .with({ type: 'release' }, () => this.#release())
      .exhaustive()
  }

  #tick (): LeaseAction[] {
    if (this.#isCalling || performance.now() < this.#dueAtMs) return []
    this.#isCalling = true
    return [{ type: 'read' }]
  }

  #release (): LeaseAction[] {
    this.#isReleasing = true
    this.#dueAtMs = 0
    return this.#tick()
  }

  #takeRow (seen: SeenLease): LeaseAction[] {
    const now = performance.now()
    this.#settle(seen.row)
    const { row } = seen
    const isOwn = row?.holder === this.#holder
    if (!isOwn) this.#held = null
    this.#isSuccessor = row !== null && !isOwn
    if (this.#isReleasing) return isOwn ? this.#write(seen.version, { ...row, durationMs: 0 }) : this.#finishCall(this.#options.intervalMs)
    if (row !== null && !isOwn && !this.#watch.hasLapsed(row, now)) return this.#finishCall(this.#options.intervalMs)
    return this.#write(seen.version, this.#buildRow(row))
  }

  /** A renewal keeps the number; a taking adds one, also when the last holder was this VM. */
  #buildRow (row: LeaseRow | null): LeaseRow {
    const isRenewal = this.#held !== null && readElapsedMs() < this.#held.untilMs && row?.fencing === this.#held.fencing
    const fencing = isRenewal ? row.fencing : (row?.fencing ?? 0) + 1
    return { holder: this.#holder, fencing, durationMs: this.#options.durationMs, nonce: '' }
  }

  #write (version: number, row: LeaseRow): LeaseAction[] {
    const value: LeaseRow = { ...row, nonce: createIncarnation() }
    this.#pending.push({ row: value, sentAtMs: readElapsedMs() })
    this.#pending = this.#pending.slice(-MAX_PENDING)
    return [{ type: 'write', version, row: value }]
  }

  #commit (): LeaseAction[] {
    this.#settle(this.#pending.at(-1)?.row ?? null)
    return this.#finishCall(this.#options.intervalMs)
  }

  /** A write whose nonce is in the row took effect; its time runs from when it was sent. */
  #settle (row: LeaseRow | null): void {
    const settled = this.#pending.find(write => write.row.nonce === row?.nonce)
    if (settled === undefined) return
    this.#pending = []
    const { fencing, durationMs } = settled.row
    const takenAtMs = this.#held?.fencing === fencing ? this.#held.takenAtMs : this.#isSuccessor ? readElapsedMs() : -Infinity
    this.#held = durationMs === 0 ? null : { fencing, takenAtMs, untilMs: settled.sentAtMs + durationMs }
  }

  #finishCall (waitMs: number): LeaseAction[] {
    this.#isCalling = false
    this.#dueAtMs = performance.now() + waitMs
    return []
  }
}
