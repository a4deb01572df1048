import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform } from 'knapweedshunt-platform'
import type { FencingNumber, Incarnation } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import { LeaseMachine } from './leaseMachine.ts'
import type { LeaseOptions } from './leaseOptions.ts'
import { LEASE_TABLE } from './leaseState.ts'
import type { LeaseRow } from './leaseState.ts'
import type { EndedLease, LeaseAction, LeaseEvent } from './leaseTypes.ts'

const TICK_MS = 250

/** Carries a {@link LeaseMachine}'s actions out on the table service. */
export class LeaseTask {
  readonly #platform: Platform
  readonly #name: string
  readonly #machine: LeaseMachine
  /** Look or renewal under way. */
  #call: Promise<void> | null = null

  constructor (platform: Platform, name: string, holder: Incarnation, options: LeaseOptions) {
    this.#platform = platform
    this.#name = name
    this.#machine = new LeaseMachine(holder, options)
  }

  /** Fencing number while orders may be sent to an endpoint, else null. Ask again after every wait. */
  readFencing (checksFencing: boolean): FencingNumber | null {
    return this.#machine.readFencing(checksFencing)
  }

  /** Contends until the signal aborts, then releases; `isContender` is asked at each tick while the lease is not held. */
  async run (signal: AbortSignal, isContender: () => boolean): Promise<void> {
    while (!signal.aborted) {
      if (this.readFencing(true) !== null || isContender()) await this.#take({ type: 'tick' })
      await sleep(TICK_MS, signal)
    }
    await this.release()
  }

  /** One look or renewal, if one is due. For those who need the lease only now and then. */
  async step (): Promise<void> {
    this.#call ??= this.#take({ type: 'tick' }).finally(() => { this.#call = null })
    await this.#call
  }

  /** Gives the lease up; it may be taken again. Returns its number when that is known to have taken effect. */
  async release (): Promise<FencingNumber | null> {
    await this.#call
    const fencing = this.readFencing(true)
    if (fencing === null) return null
    await this.#take({ type: 'release' })
    return this.#machine.isHeld ? null : fencing
  }

  /** Takes note that the holder of a lease said that it gave it up, so that its orders need not be waited out from the taking on. */
  noteEnded (ended: EndedLease): void {
    this.#machine.noteEnded(ended)
  }

  async #take (event: LeaseEvent): Promise<void> {
    for (const action of this.#machine.take(event)) await this.#take(await this.#carryOut(action))
  }

  #carryOut (action: LeaseAction): Promise<LeaseEvent> {
    return match(action)
      .with({ type: 'read' }, () => this.#read())
      .with({ type: 'write' }, ({ version, row }) => this.#write(version, row))
      .exhaustive()
  }

  async #read (): Promise<LeaseEvent> {
    try {
      const row = await this.#platform.read(LEASE_TABLE, this.#name)
      return { type: 'rowRead', seen: { version: row?.version ?? 0, row: row === null ? null : row.value as LeaseRow } }
    } catch {
      return { type: 'rowUnread' }
    }
  }

  async #write (version: number, row: LeaseRow): Promise<LeaseEvent> {
    try {
      const result = await this.#platform.transact({
        checks: [{ table: LEASE_TABLE, key: this.#name, version }],
        writes: [{ type: 'put', table: LEASE_TABLE, key: this.#name, value: row }]
      })
      return { type: result.type === 'committed' ? 'writeCommitted' : 'writeRefused' }
    } catch (error) {
      return { type: error instanceof PlatformUnreachableError ? 'writeLost' : 'writeRefused' }
    }
  }
}
