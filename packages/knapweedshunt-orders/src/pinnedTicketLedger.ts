import type { Incarnation } from 'knapweedshunt-types'
import type { ClosedLedger } from './closedLedger.ts'
import type { ClaimResult, OrderLedger } from './orderLedger.ts'
import type { OrderRequest } from './orderRequest.ts'
import type { RunOutcome } from './outcomeRow.ts'
import { UsedSerialSet } from './usedSerialSet.ts'
import type { TableLedger } from './tableLedger.ts'

/** Nonce under which outcomes of pinned tickets are recorded. It is constant because a pinned ticket has at most one run. */
export const PINNED_NONCE = 'pinned'

interface PinnedRun {
  digest: string
  outcome: RunOutcome | null
  /** Wall clock, milliseconds; not before the ticket's expiry. */
  expiresAtMs: number
}

/** State of a serial on its minter. `evicted`: the ticket expired, and only the bit that marks it as used is kept. */
export type PinnedEntry =
  | { type: 'unused' }
  | { type: 'used', outcome: RunOutcome | null }
  | { type: 'evicted' }

/** Keeps claims and outcomes of the pinned tickets that this process minted. In memory only; outcomes are also written to the tables once these are available. */
export class PinnedTicketLedger implements OrderLedger {
  readonly #minter: Incarnation
  readonly #tables: TableLedger
  readonly #usedSerials = new UsedSerialSet()
  readonly #runs = new Map<number, PinnedRun>()
  readonly #ticketLifetimeMs: number
  #nextSerial = 0

  constructor (minter: Incarnation, tables: TableLedger, ticketLifetimeMs: number) {
    this.#ticketLifetimeMs = ticketLifetimeMs
    this.#minter = minter
    this.#tables = tables
  }

  /** Issues the next serial, for a ticket that expires at the wall-clock time in milliseconds. */
  issueSerial (expiresAtMs: number): number {
    const serial = this.#nextSerial++
    this.#usedSerials.allocate(serial, expiresAtMs)
    return serial
  }

  async claim (order: OrderRequest): Promise<ClaimResult> {
    const serial = parseSerial(order.key)
    if (!this.#usedSerials.has(serial)) {
      this.#usedSerials.add(serial)
      this.#runs.set(serial, { digest: order.digest, outcome: null, expiresAtMs: Date.now() + this.#ticketLifetimeMs })
      return { type: 'claimed' }
    }
    const run = this.#runs.get(serial)
    const claim = { state: 'claimed' as const, digest: run?.digest ?? order.digest, nonce: PINNED_NONCE, owner: this.#minter, claimedAtMs: 0 }
    return { type: 'known', present: { claim, version: 1 }, outcome: run?.outcome ?? null, expired: run === undefined }
  }

  record (order: OrderRequest, _nonce: string, outcome: RunOutcome): void {
    const run = this.#runs.get(parseSerial(order.key))
    if (run !== undefined) run.outcome = outcome
    this.#tables.record(order, PINNED_NONCE, outcome)
  }

  /** Resolves at once: every router asks the minter for the outcome, so there is no table write to wait for. */
  async waitRecorded (): Promise<void> {}

  /** Records that the ticket did not run. A claim in memory is answered at once, so its result is never uncertain. */
  async release (order: OrderRequest, nonce: string): Promise<void> {
    this.record(order, nonce, { ran: 'not-run', answer: null })
  }

  /** Looks up a serial of this minter. */
  find (serial: number): PinnedEntry {
    if (!this.#usedSerials.has(serial)) return { type: 'unused' }
    const run = this.#runs.get(serial)
    return run === undefined ? { type: 'evicted' } : { type: 'used', outcome: run.outcome }
  }

  /** Evicts expired tickets that have an outcome. `nowMs` is the wall clock. */
  dropExpired (nowMs: number): void {
    this.#usedSerials.dropExpired(nowMs)
    for (const [serial, run] of this.#runs) {
      if (run.expiresAtMs < nowMs && run.outcome !== null) this.#runs.delete(serial)
    }
  }

  /** Builds the closing record. It may be written only when this process will run no further ticket. */
  buildClosedLedger (): ClosedLedger {
    return { minter: this.#minter, used: this.#usedSerials.encode(), closedAtMs: Date.now() }
  }

  get issuedCount (): number {
    return this.#nextSerial
  }
}

/** Id of a pinned ticket, unique across minters. */
export function buildPinnedTicketId (minter: Incarnation, serial: string): string {
  return `${minter}.${serial}`
}

/** Extracts the serial from an order key that contains an id of {@link buildPinnedTicketId}. */
export function parseSerial (key: string): number {
  return Number(key.slice(key.lastIndexOf('.') + 1))
}
