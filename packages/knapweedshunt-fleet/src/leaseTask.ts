import type { Logger } from 'knapweedshunt-logger'
import { LoggedRows, PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, Row, RowWithEra } from 'knapweedshunt-platform'
import type { FencingToken, Incarnation } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import { LeaseStateMachine } from './leaseStateMachine.ts'
import type { LeaseOptions } from './leaseOptions.ts'
import { LEASE_TABLE } from './leaseState.ts'
import type { LeaseRow } from './leaseState.ts'
import { readLeaseRow } from './readLeaseRow.ts'
import type { ReleasedLease, LeaseAction, LeaseEvent } from './leaseTypes.ts'

const TICK_MS = 250

const SILENT_LOG: Pick<Logger, 'warn'> = { warn () {} }

/** Executes the actions of a {@link LeaseStateMachine} on the table service. */
export class LeaseTask {
  readonly #platform: Platform
  readonly #name: string
  readonly #options: LeaseOptions
  readonly #log: Pick<Logger, 'warn'>
  readonly #loggedRows = new LoggedRows()
  readonly #machine: LeaseStateMachine
  /** Read or renewal in progress; null when there is none. */
  #pendingStep: Promise<void> | null = null

  constructor (platform: Platform, name: string, holder: Incarnation, options: LeaseOptions, log: Pick<Logger, 'warn'> = SILENT_LOG) {
    this.#platform = platform
    this.#name = name
    this.#options = options
    this.#log = log
    this.#machine = new LeaseStateMachine(holder, options)
  }

  /** Returns the fencing token while commands may be sent to an endpoint, else null. Must be read again after every await. */
  readFencing (checksFencing: boolean): FencingToken | null {
    return this.#machine.readFencing(checksFencing)
  }

  /** Time until commands may be sent to an endpoint that does not check fencing tokens; null when the lease is not held. */
  computeWaitMs (): number | null {
    return this.#machine.computeWaitMs()
  }

  /** Contends until the signal aborts, then releases the lease. `isContender` is evaluated at each tick while the lease is not held. */
  async run (signal: AbortSignal, isContender: () => boolean): Promise<void> {
    while (!signal.aborted) {
      if (this.readFencing(true) !== null || isContender()) await this.#handleEvent({ type: 'tick' })
      await sleep(TICK_MS, signal)
    }
    await this.release()
  }

  /** Reads the row if that is due, without acquiring the lease: its expiry is then known sooner. */
  async watchOnce (): Promise<void> {
    this.#pendingStep ??= this.#handleEvent({ type: 'followTick' }).finally(() => { this.#pendingStep = null })
    await this.#pendingStep
  }

  /** Performs one read or renewal if one is due. For callers that need the lease only occasionally and don't use `run`. */
  async runOnce (): Promise<void> {
    this.#pendingStep ??= this.#handleEvent({ type: 'tick' }).finally(() => { this.#pendingStep = null })
    await this.#pendingStep
  }

  /** Releases the lease, which may be acquired again later. Returns its fencing token when the release is known to have been applied, else null. */
  async release (): Promise<FencingToken | null> {
    await this.#pendingStep
    const fencing = this.readFencing(true)
    if (fencing === null) return null
    await this.#handleEvent({ type: 'release' })
    return this.#machine.isHeld ? null : fencing
  }

  /** Records that a holder announced the release of its lease, so that its commands are waited out from then on and not only from the next acquisition. */
  recordReleasedLease (released: ReleasedLease): void {
    this.#machine.recordReleasedLease(released)
  }

  async #handleEvent (event: LeaseEvent): Promise<void> {
    for (const action of this.#machine.handleEvent(event)) await this.#handleEvent(await this.#executeAction(action))
  }

  #executeAction (action: LeaseAction): Promise<LeaseEvent> {
    return match(action)
      .with({ type: 'read' }, () => this.#read())
      .with({ type: 'write' }, ({ version, row }) => this.#write(version, row))
      .exhaustive()
  }

  async #read (): Promise<LeaseEvent> {
    try {
      const { row, era } = await this.#readRow()
      return { type: 'rowRead', snapshot: { era, version: row?.version ?? 0, row: row === null ? null : readLeaseRow(row, this.#options.durationMs, reason => this.#recordUnreadable(row, reason)) } }
    } catch {
      return { type: 'readFailed' }
    }
  }

  async #readRow (): Promise<RowWithEra> {
    return await this.#platform.readWithEra?.(LEASE_TABLE, this.#name) ?? { row: await this.#platform.read(LEASE_TABLE, this.#name), era: null }
  }

  #recordUnreadable (row: Row, reason: string): void {
    if (this.#loggedRows.tryAdd(LEASE_TABLE, row)) this.#log.warn('Lease cannot be read; it is waited out.', { table: LEASE_TABLE, key: row.key, reason })
  }

  async #write (version: number, row: LeaseRow): Promise<LeaseEvent> {
    try {
      const result = await this.#platform.transact({
        checks: [{ table: LEASE_TABLE, key: this.#name, version }],
        writes: [{ type: 'put', table: LEASE_TABLE, key: this.#name, value: row }]
      })
      return result.type === 'committed' ? { type: 'writeCommitted', era: result.era ?? null } : { type: 'writeConflicted' }
    } catch (error) {
      return { type: error instanceof PlatformUnreachableError ? 'writeUnanswered' : 'writeConflicted' }
    }
  }
}
