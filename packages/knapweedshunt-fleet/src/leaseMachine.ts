import type { FencingNumber, Incarnation } from 'knapweedshunt-types'
import { createIncarnation, readElapsedMs } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { LeaseOptions } from './leaseOptions.ts'
import type { LeaseRow } from './leaseState.ts'
import type { EndedLease, HeldLease, LeaseAction, LeaseEvent, PendingWrite, SeenLease } from './leaseTypes.ts'
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
  /** From when on the longest order of another holder is waited out, by {@link readElapsedMs}; -Infinity when there was none. */
  #othersEndMs = -Infinity
  #ended: EndedLease | null = null

  constructor (holder: Incarnation, options: LeaseOptions) {
    this.#holder = holder
    this.#options = options
  }

  /** Fencing number while orders may be sent to an endpoint, else null. Ask again after every wait. */
  readFencing (checksFencing: boolean): FencingNumber | null {
    const now = readElapsedMs()
    const held = this.#held
    if (held === null || this.#isReleasing || now >= held.untilMs - this.#options.guardMs) return null
    if (!checksFencing && now < held.othersEndMs + this.#options.longestOrderMs) return null
    return held.fencing
  }

  /** Whether this contender may hold the lease: it has taken it, and has not heard that giving it up took effect. */
  get isHeld (): boolean {
    return this.#held !== null
  }

  /** Takes note that a lease was given up; if the row says so too, its holder has given no order since. */
  noteEnded (ended: EndedLease): void {
    this.#ended = ended
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
    if (row !== null && !isOwn) this.#othersEndMs = this.#findEnd(row)
    if (this.#isReleasing) return isOwn ? this.#write(seen.version, { ...row, durationMs: 0 }) : this.#finishCall(this.#options.intervalMs)
    if (row !== null && !isOwn && !this.#watch.hasLapsed(row, now)) return this.#finishCall(this.#options.intervalMs)
    return this.#write(seen.version, this.#buildRow(row))
  }

  /** A lease that was given up, and not taken since, ended when that was told; any other ends now at the latest. */
  #findEnd (row: LeaseRow): number {
    const isKnown = row.durationMs === 0 && row.fencing === this.#ended?.fencing
    return isKnown && this.#ended !== null ? this.#ended.atMs : readElapsedMs()
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
    return this.#finishCall(this.isHeld ? this.#options.intervalMs : 0)
  }

  /** A write whose nonce is in the row took effect; its time runs from when it was sent. */
  #settle (row: LeaseRow | null): void {
    const settled = this.#pending.find(write => write.row.nonce === row?.nonce)
    if (settled === undefined) return
    this.#pending = []
    const { fencing, durationMs } = settled.row
    const othersEndMs = this.#held?.fencing === fencing ? this.#held.othersEndMs : this.#othersEndMs
    this.#held = durationMs === 0 ? null : { fencing, othersEndMs, untilMs: settled.sentAtMs + durationMs }
    if (durationMs === 0) this.#isReleasing = false
  }

  #finishCall (waitMs: number): LeaseAction[] {
    this.#isCalling = false
    this.#dueAtMs = performance.now() + waitMs
    return []
  }
}
