import { Backoff, GroupCommitter, PlatformError, PlatformRefusedError, PlatformUnreachableError, PlatformUnsentError } from 'knapweedshunt-platform'
import type { Platform, RowChange, RowChangeResult } from 'knapweedshunt-platform'
import type { Incarnation, OrganisationName } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { ClaimRow, VersionedClaim } from './claimRow.ts'
import type { UnwrittenOutcome } from './closedLedger.ts'
import type { ClaimResult, OrderLedger } from './orderLedger.ts'
import type { OrderOptions } from './orderOptions.ts'
import type { OrderRequest } from './orderRequest.ts'
import type { OutcomeRow, RunOutcome } from './outcomeRow.ts'
import { isClaimRow, parseClaimRow, parseOutcomeRow } from './parseOrderRow.ts'
import { OutcomeWriter } from './outcomeWriter.ts'

/** Table of {@link ClaimRow}, keyed by organisation and order key. */
export const CLAIMS_TABLE = 'orders'

/** Table of {@link OutcomeRow}, keyed by order and nonce. */
export const OUTCOMES_TABLE = 'order-outcomes'

/** Claim and outcome of an order as read from the tables. */
export type LedgerEntry =
  | { type: 'absent' }
  | { type: 'present', present: VersionedClaim, outcome: RunOutcome | null, expired: boolean }

/** Keeps claims and outcomes in the table service. Writes of several orders are grouped into one transaction. */
export class TableLedger implements OrderLedger {
  /** Writes outcomes in the background and holds those not written yet. */
  readonly writer: OutcomeWriter
  readonly #platform: Platform
  readonly #committer: GroupCommitter
  readonly #owner: Incarnation
  readonly #options: OrderOptions
  readonly #rng: Rng

  constructor (platform: Platform, owner: Incarnation, options: OrderOptions, rng: Rng, signal: AbortSignal) {
    this.#platform = platform
    this.#committer = new GroupCommitter(platform, options.group)
    this.#owner = owner
    this.#options = options
    this.#rng = rng
    const write = (outcome: UnwrittenOutcome) => this.#writeOutcome(outcome)
    this.writer = new OutcomeWriter({ write, backoff: options.backoff, rng, signal, maxConcurrentRetries: options.group.maxChanges })
  }

  async claim (order: OrderRequest, nonce: string, version: number): Promise<ClaimResult> {
    try {
      const change = { table: CLAIMS_TABLE, key: buildClaimKey(order), version, value: this.#buildClaim('claimed', order.digest, nonce) }
      const result = await this.#committer.commit(change, 0)
      if (result.type === 'committed') return { type: 'claimed' }
      if (result.row === null) return { type: 'lost' }
      const claim = parseClaimRow(result.row)
      if (claim.nonce === nonce && claim.state === 'claimed') return { type: 'claimed' }
      return { type: 'known', ...await this.#readClaimOutcome(order, { claim, version: result.row.version }) }
    } catch (error) {
      return { type: classifyFailure(error) }
    }
  }

  record (order: OrderRequest, nonce: string, outcome: RunOutcome): void {
    this.writer.add({ order, nonce, outcome })
  }

  waitRecorded (order: OrderRequest, maxMs: number): Promise<void> {
    return this.writer.waitWritten(order, maxMs)
  }

  /** Inserts a row, with retries until the tables answer or `signal` is aborted. A row that already exists counts as written. */
  async insertWithRetry (change: RowChange, signal: AbortSignal): Promise<void> {
    await this.#retry(signal, async () => {
      await this.#committer.commit(change, this.#options.outcomeBatchDelayMs)
      return true
    })
  }

  async #writeOutcome ({ order, nonce, outcome }: UnwrittenOutcome): Promise<void> {
    const value: OutcomeRow = { ...outcome, digest: order.digest, owner: this.#owner, recordedAtMs: Date.now() }
    await this.#committer.commit({ table: OUTCOMES_TABLE, key: buildOutcomeKey(order, nonce), version: 0, value }, this.#options.outcomeBatchDelayMs)
  }

  async release (order: OrderRequest, nonce: string, signal: AbortSignal): Promise<void> {
    await this.#retry(signal, async () => {
      const row = await this.#platform.read(CLAIMS_TABLE, buildClaimKey(order))
      // Another writer replaced the row, so that a delayed write of this run's claim fails its version check.
      if (row !== null && !isClaimRow(row)) return true
      const claim = row === null ? undefined : parseClaimRow(row)
      if (claim !== undefined && isSuperseded(claim, nonce)) return true
      const value = this.#buildClaim('released', order.digest, nonce)
      const result: RowChangeResult = await this.#committer.commit({ table: CLAIMS_TABLE, key: buildClaimKey(order), version: row?.version ?? 0, value }, 0)
      return result.type === 'committed'
    })
  }

  /** Reads the claim and outcome of an order. Throws PlatformUnreachableError. */
  async readEntry (organisation: OrganisationName, key: string): Promise<LedgerEntry> {
    const row = await this.#platform.read(CLAIMS_TABLE, buildClaimKey({ organisation, key }))
    if (row === null) return { type: 'absent' }
    const present = { claim: parseClaimRow(row), version: row.version }
    return { type: 'present', ...await this.#readClaimOutcome({ organisation, key }, present) }
  }

  /** Reads a recorded outcome; null when there is none. Throws PlatformUnreachableError. */
  async readOutcome (order: Pick<OrderRequest, 'organisation' | 'key'>, nonce: string): Promise<OutcomeRow | null> {
    const row = await this.#platform.read(OUTCOMES_TABLE, buildOutcomeKey(order, nonce))
    return row === null ? null : parseOutcomeRow(row)
  }

  async #readClaimOutcome (order: Pick<OrderRequest, 'organisation' | 'key'>, present: VersionedClaim): Promise<{ present: VersionedClaim, outcome: RunOutcome | null, expired: boolean }> {
    const ageMs = Date.now() - present.claim.claimedAtMs
    if (ageMs > this.#options.retentionMs) return { present, outcome: null, expired: true }
    if (present.claim.state === 'released') return { present, outcome: null, expired: false }
    const row = await this.#tryReadOutcome(order, present.claim.nonce)
    const assumed: RunOutcome | null = ageMs > this.#options.maxRunMs ? { ran: 'may-have-run', answer: null } : null
    return { present, outcome: row ?? assumed, expired: false }
  }

  /** Returns null when the tables are unreachable. The claim is known to exist, so an unreadable outcome is no reason to claim again. */
  async #tryReadOutcome (order: Pick<OrderRequest, 'organisation' | 'key'>, nonce: string): Promise<RunOutcome | null> {
    try {
      return await this.readOutcome(order, nonce)
    } catch (error) {
      if (error instanceof PlatformUnreachableError) return null
      throw error
    }
  }

  async #retry (signal: AbortSignal, tryOnce: () => Promise<boolean>): Promise<void> {
    const backoff = new Backoff(this.#options.backoff, this.#rng)
    while (!signal.aborted) {
      try {
        if (await tryOnce()) return
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error
      }
      await sleep(backoff.drawDelay(), signal)
    }
  }

  #buildClaim (state: ClaimRow['state'], digest: string, nonce: string): ClaimRow {
    return { state, digest, nonce, owner: this.#owner, claimedAtMs: Date.now() }
  }
}

/** Whether the row is claimed by another run or already released by this one. A delayed write of this run's claim then fails its version check. */
function isSuperseded (claim: ClaimRow, nonce: string): boolean {
  return claim.nonce === nonce ? claim.state === 'released' : claim.state === 'claimed'
}

function classifyFailure (error: unknown): 'unsent' | 'lost' {
  if (error instanceof PlatformUnsentError || error instanceof PlatformRefusedError) return 'unsent'
  if (error instanceof PlatformUnreachableError) return 'lost'
  throw error
}

function buildClaimKey ({ organisation, key }: Pick<OrderRequest, 'organisation' | 'key'>): string {
  return `${encodeURIComponent(organisation)}/${encodeURIComponent(key)}`
}

function buildOutcomeKey (order: Pick<OrderRequest, 'organisation' | 'key'>, nonce: string): string {
  return `${buildClaimKey(order)}/${nonce}`
}
