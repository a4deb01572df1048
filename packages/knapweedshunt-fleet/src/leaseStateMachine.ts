import type { FencingToken, Incarnation } from 'knapweedshunt-types'
import { createIncarnation, readElapsedMs } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { LeaseOptions } from './leaseOptions.ts'
import type { LeaseRow } from './leaseState.ts'
import type { ReleasedLease, HeldLease, LeaseAction, LeaseEvent, PendingWrite, LeaseSnapshot } from './leaseTypes.ts'
import { computeMinFencing } from './computeMinFencing.ts'
import { LeaseExpiryTracker } from './leaseExpiryTracker.ts'

const MAX_PENDING = 16

/** Intervals without a read after which a row may have changed unseen, and back. */
const MAX_GAP_INTERVALS = 3

/** Reads and writes, with a reserve, that take place between the sending of a write and the answer to the next one. */
const CALLS_PER_RENEWAL = 4

/**
 * State machine of one contender for a lease. Performs no I/O: it handles events, returns actions and reads the clocks.
 *
 * - A holder's time runs from when it sent the write, so a write that is applied late does not extend the lease. Time
 *   during which the VM was suspended counts too.
 * - A contender's time runs from when it observed the row change, on the monotonic clock, which is not affected by changes
 *   of the wall clock. It therefore sees the lease expire only after the holder has stopped, whatever the clocks show.
 * - Every write checks the version that was read, so of two writes based on one read only one is applied.
 * - A token of an earlier era of the store counts no more: the store may give it out again.
 */
export class LeaseStateMachine {
  readonly #holder: Incarnation
  readonly #options: LeaseOptions
  readonly #expiryTracker = new LeaseExpiryTracker()
  #held: HeldLease | null = null
  #pending: PendingWrite[] = []
  #isCallPending = false
  #isReleasing = false
  #mayAcquire = false
  #nextCallAtMs = 0
  #calledAtMs = 0
  /** Duration of the last read. */
  #readMs = 0
  /** Latest time by the monotonic clock, which a step of the wall clock does not advance, at which the previous holder may have sent a command, from which its longest command is waited out; -Infinity when there was no other holder. */
  #previousHolderEndMs = -Infinity
  #releasedLease: ReleasedLease | null = null
  /** Greatest fencing token read or written; a store that returned to an older copy may hold a smaller one. */
  #maxFencing = 0
  /** Lowest token of the latest era of the store that is known. */
  #minFencing = 0
  /** Whether the last row that was read was another holder's. */
  #wasForeign = false

  constructor (holder: Incarnation, options: LeaseOptions) {
    this.#holder = holder
    this.#options = options
  }

  /** Returns the fencing token while commands may be sent to an endpoint, else null. Must be read again after every await. */
  readFencing (checksFencing: boolean): FencingToken | null {
    const now = readElapsedMs()
    const held = this.#held
    if (held === null || held.fencing < this.#minFencing || this.#isReleasing || now >= held.validUntilMs - this.#options.guardMs) return null
    if (!checksFencing && performance.now() < held.previousHolderEndMs + this.#options.maxCommandMs) return null
    return held.fencing
  }

  /** Time until commands may be sent to an endpoint that does not check fencing tokens, if the lease is kept; null when it is not held. */
  computeWaitMs (): number | null {
    if (this.#held === null || this.readFencing(true) === null) return null
    return Math.max(0, this.#held.previousHolderEndMs + this.#options.maxCommandMs - performance.now())
  }

  /** Whether this contender may hold the lease: it has acquired it, and its release is not known to have been applied. */
  get isHeld (): boolean {
    return this.#held !== null
  }

  /** Records that a lease was released. If the row confirms it, its holder has sent no command since. */
  recordReleasedLease (released: ReleasedLease): void {
    this.#releasedLease = released
  }

  /** Handles one event and returns the actions to execute. */
  handleEvent (event: LeaseEvent): LeaseAction[] {
    return match(event)
      .with({ type: 'tick' }, () => this.#handleTick(true))
      .with({ type: 'followTick' }, () => this.#handleTick(false))
      .with({ type: 'rowRead' }, ({ snapshot }) => this.#handleRowRead(snapshot))
      .with({ type: 'readFailed' }, () => this.#handleReadFailed())
      .with({ type: 'writeUnanswered' }, () => this.#finishCall(this.#options.intervalMs))
      .with({ type: 'writeConflicted' }, () => this.#finishCall(0))
      .with({ type: 'writeCommitted' }, ({ era }) => this.#handleWriteCommitted(era))
      .with({ type: 'release' }, () => this.#handleRelease())
      .exhaustive()
  }

  #handleTick (mayAcquire: boolean): LeaseAction[] {
    if (this.#isCallPending || performance.now() < this.#nextCallAtMs) return []
    this.#mayAcquire = mayAcquire
    this.#isCallPending = true
    this.#calledAtMs = performance.now()
    return [{ type: 'read' }]
  }

  #handleRelease (): LeaseAction[] {
    this.#isReleasing = true
    this.#nextCallAtMs = 0
    return this.#handleTick(true)
  }

  #handleReadFailed (): LeaseAction[] {
    this.#expiryTracker.recordGap()
    return this.#finishCall(this.#options.intervalMs)
  }

  #handleRowRead (snapshot: LeaseSnapshot): LeaseAction[] {
    const now = performance.now()
    this.#readMs = now - this.#calledAtMs
    this.#minFencing = Math.max(this.#minFencing, computeMinFencing(snapshot.era))
    this.#resolvePendingWrite(snapshot.row)
    const { row } = snapshot
    const isOwn = row?.holder === this.#holder
    if (!isOwn) this.#held = null
    const hasExpired = row === null || isOwn || this.#expiryTracker.hasExpired(row, now)
    if (row !== null && !isOwn) this.#previousHolderEndMs = this.#computePreviousHolderEndMs(row, now)
    // Rows are never deleted, so the store has lost the row, and perhaps a renewal that was written just before.
    if (row === null && this.#wasForeign) this.#previousHolderEndMs = now + this.#options.durationMs
    this.#wasForeign = row !== null && !isOwn
    this.#maxFencing = Math.max(this.#maxFencing, row?.fencing ?? 0)
    if (this.#isReleasing && isOwn) return this.#buildWrite(snapshot.version, { ...row, durationMs: 0 })
    if (this.#isReleasing) {
      this.#isReleasing = false
      return this.#finishCall(this.#options.intervalMs)
    }
    if (!hasExpired || !this.#mayAcquire) return this.#finishCall(this.#options.intervalMs)
    return this.#buildWrite(snapshot.version, this.#buildRow(row))
  }

  /** A lease that was released, and not acquired since, ended when the release was announced, or now at the latest; any other ends when it has not been renewed in time. */
  #computePreviousHolderEndMs (row: LeaseRow, now: number): number {
    const holderEndMs = this.#expiryTracker.computeHolderEndMs(row, now, MAX_GAP_INTERVALS * this.#options.intervalMs)
    if (row.durationMs > 0) return holderEndMs
    const isKnown = row.fencing === this.#releasedLease?.fencing
    return isKnown && this.#releasedLease !== null ? this.#releasedLease.atMs : now
  }

  /** Slow answers need a longer lease, as its time runs from when a renewal is sent. */
  #computeDurationMs (): number {
    const { durationMs, minDurationMs = durationMs } = this.#options
    return Math.min(durationMs, Math.round(minDurationMs + CALLS_PER_RENEWAL * this.#readMs))
  }

  /** A renewal keeps the fencing token; an acquisition increments it, also when the last holder was this VM. */
  #buildRow (row: LeaseRow | null): LeaseRow {
    const isRenewal = this.#held !== null && readElapsedMs() < this.#held.validUntilMs && row?.fencing === this.#held.fencing && row.fencing >= this.#minFencing
    const fencing = isRenewal ? row.fencing : Math.max(this.#maxFencing, this.#minFencing) + 1
    return { holder: this.#holder, fencing, durationMs: this.#computeDurationMs(), nonce: '' }
  }

  #buildWrite (version: number, row: LeaseRow): LeaseAction[] {
    const value: LeaseRow = { ...row, nonce: createIncarnation() }
    this.#maxFencing = Math.max(this.#maxFencing, row.fencing)
    this.#pending.push({ row: value, sentAtMs: readElapsedMs() })
    this.#pending = this.#pending.slice(-MAX_PENDING)
    return [{ type: 'write', version, row: value }]
  }

  #handleWriteCommitted (era: number | null): LeaseAction[] {
    this.#minFencing = Math.max(this.#minFencing, computeMinFencing(era))
    this.#resolvePendingWrite(this.#pending.at(-1)?.row ?? null)
    const isCurrent = this.#held !== null && this.#held.fencing >= this.#minFencing
    return this.#finishCall(isCurrent ? this.#options.intervalMs : 0)
  }

  /** A pending write whose nonce is in the row has been applied; the lease runs from when that write was sent. */
  #resolvePendingWrite (row: LeaseRow | null): void {
    const resolved = this.#pending.find(write => write.row.nonce === row?.nonce)
    if (resolved === undefined) return
    this.#pending = []
    const { fencing, durationMs } = resolved.row
    const previousHolderEndMs = this.#held?.fencing === fencing ? this.#held.previousHolderEndMs : this.#previousHolderEndMs
    this.#held = durationMs === 0 ? null : { fencing, previousHolderEndMs, validUntilMs: resolved.sentAtMs + durationMs }
    if (durationMs === 0) this.#isReleasing = false
  }

  #finishCall (waitMs: number): LeaseAction[] {
    this.#isCallPending = false
    this.#nextCallAtMs = performance.now() + waitMs
    return []
  }
}
