import type { Incarnation } from 'knapweedshunt-types'
import type { ClosedBook } from './closedBook.ts'
import type { ClaimResult, OrderLedger } from './orderLedger.ts'
import type { OrderRequest } from './orderRequest.ts'
import type { RunOutcome } from './outcomeRow.ts'
import { RunSet } from './runSet.ts'
import type { TableLedger } from './tableLedger.ts'

/** Nonce under which outcomes of pinned tickets are recorded: a pinned ticket has one run at most. */
export const PINNED_NONCE = 'pinned'

interface PinnedRun {
  digest: string
  outcome: RunOutcome | null
  /** Wall clock, not before the ticket's expiry. */
  expiresAtMs: number
}

/** What a minter knows of a serial; an expired one is forgotten but for its bit. */
export type PinnedEntry =
  | { type: 'unused' }
  | { type: 'used', outcome: RunOutcome | null }
  | { type: 'forgotten' }

/** Pinned tickets of this process: who used which, and what came of it. Memory only; outcomes also go to the tables when they answer. */
export class TicketBook implements OrderLedger {
  readonly #minter: Incarnation
  readonly #tables: TableLedger
  readonly #used = new RunSet()
  readonly #runs = new Map<number, PinnedRun>()
  readonly #ticketMs: number
  #nextSerial = 0

  constructor (minter: Incarnation, tables: TableLedger, ticketMs: number) {
    this.#ticketMs = ticketMs
    this.#minter = minter
    this.#tables = tables
  }

  /** Issues the next serial. */
  issue (expiresAtMs: number): number {
    const serial = this.#nextSerial++
    this.#used.open(serial, expiresAtMs)
    return serial
  }

  async claim (order: OrderRequest): Promise<ClaimResult> {
    const serial = readSerial(order.key)
    if (!this.#used.has(serial)) {
      this.#used.add(serial)
      this.#runs.set(serial, { digest: order.digest, outcome: null, expiresAtMs: Date.now() + this.#ticketMs })
      return { type: 'claimed' }
    }
    const run = this.#runs.get(serial)
    const claim = { state: 'claimed' as const, digest: run?.digest ?? order.digest, nonce: PINNED_NONCE, owner: this.#minter, claimedAtMs: 0 }
    return { type: 'known', present: { claim, version: 1 }, outcome: run?.outcome ?? null, expired: run === undefined }
  }

  record (order: OrderRequest, _nonce: string, outcome: RunOutcome): void {
    const run = this.#runs.get(readSerial(order.key))
    if (run !== undefined) run.outcome = outcome
    this.#tables.record(order, PINNED_NONCE, outcome)
  }

  /** Every router asks this one. */
  async waitRecorded (): Promise<void> {}

  /** Memory answers at once, so a claim is never in doubt: the ticket did not run. */
  async release (order: OrderRequest, nonce: string): Promise<void> {
    this.record(order, nonce, { ran: 'not-run', answer: null })
  }

  /** What became of a serial of this minter. */
  find (serial: number): PinnedEntry {
    if (!this.#used.has(serial)) return { type: 'unused' }
    const run = this.#runs.get(serial)
    return run === undefined ? { type: 'forgotten' } : { type: 'used', outcome: run.outcome }
  }

  /** Forgets expired tickets. */
  dropExpired (nowMs: number): void {
    this.#used.dropExpired(nowMs)
    for (const [serial, run] of this.#runs) {
      if (run.expiresAtMs < nowMs && run.outcome !== null) this.#runs.delete(serial)
    }
  }

  /** Closing record; only to be written when this process will run no ticket again. */
  close (): ClosedBook {
    return { minter: this.#minter, used: this.#used.write(), closedAtMs: Date.now() }
  }

  get issued (): number {
    return this.#nextSerial
  }
}

/** Key of a pinned ticket, below its organisation. */
export function namePinnedId (minter: Incarnation, serial: string): string {
  return `${minter}.${serial}`
}

/** Serial in an order key that {@link namePinnedId} made part of. */
export function readSerial (key: string): number {
  return Number(key.slice(key.lastIndexOf('.') + 1))
}
