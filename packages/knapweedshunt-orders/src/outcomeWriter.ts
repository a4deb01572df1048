import { Backoff } from 'knapweedshunt-platform'
import type { BackoffOptions } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { UnwrittenOutcome } from './closedLedger.ts'
import type { OrderRequest } from './orderRequest.ts'

type OrderKey = Pick<OrderRequest, 'organisation' | 'key'>

/** Characters counted for an outcome in addition to its answer: names, keys and the overhead of the map entry. */
export const OUTCOME_OVERHEAD_CHARS = 1_024

/** Options of {@link OutcomeWriter}. */
export interface OutcomeWriterOptions {
  /** Writes one outcome; rejects when no response arrived. The write is idempotent. */
  write (outcome: UnwrittenOutcome): Promise<void>
  backoff: BackoffOptions
  rng: Rng
  signal: AbortSignal
  /** Maximum concurrent writes in one retry pass. */
  maxConcurrentRetries: number
}

/** Holds outcomes of this process until they are written to the tables. Each is written immediately; a single background task retries those that failed. */
export class OutcomeWriter {
  readonly #options: OutcomeWriterOptions
  readonly #unwritten = new Map<string, UnwrittenOutcome>()
  readonly #waiters = new Map<string, () => void>()
  #retrying: Promise<void> | null = null
  #unwrittenChars = 0

  constructor (options: OutcomeWriterOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#unwritten.size
  }

  /** Size of the unwritten outcomes, in characters. */
  get unwrittenChars (): number {
    return this.#unwrittenChars
  }

  /** Adds an outcome and starts writing it. `find` returns it until it is written. */
  add (outcome: UnwrittenOutcome): void {
    const orderKey = buildOrderKey(outcome.order)
    this.#drop(orderKey)
    this.#unwritten.set(orderKey, outcome)
    this.#unwrittenChars += countChars(outcome)
    this.#tryWrite(outcome).then(isWritten => {
      if (!isWritten) this.#retrying ??= this.#retryAll()
    })
  }

  find (order: OrderKey): UnwrittenOutcome | null {
    return this.#unwritten.get(buildOrderKey(order)) ?? null
  }

  list (): UnwrittenOutcome[] {
    return [...this.#unwritten.values()]
  }

  /** Resolves when the order's outcome is written, or after `maxMs`. */
  async waitWritten (order: OrderKey, maxMs: number): Promise<void> {
    const orderKey = buildOrderKey(order)
    if (!this.#unwritten.has(orderKey)) return
    const written = new AbortController()
    this.#waiters.set(orderKey, () => written.abort())
    await sleep(maxMs, written.signal)
    this.#waiters.delete(orderKey)
  }

  /** Resolves when all outcomes are written, or the signal is aborted. */
  async waitEmpty (): Promise<void> {
    const { signal, backoff } = this.#options
    while (this.#unwritten.size > 0 && !signal.aborted) await sleep(backoff.initialDelayMs, signal)
  }

  async #tryWrite (outcome: UnwrittenOutcome): Promise<boolean> {
    const orderKey = buildOrderKey(outcome.order)
    try {
      await this.#options.write(outcome)
    } catch {
      return false
    }
    this.#drop(orderKey)
    this.#waiters.get(orderKey)?.()
    return true
  }

  #drop (orderKey: string): void {
    const existing = this.#unwritten.get(orderKey)
    if (existing === undefined) return
    this.#unwritten.delete(orderKey)
    this.#unwrittenChars -= countChars(existing)
  }

  async #retryAll (): Promise<void> {
    const { backoff, rng, signal, maxConcurrentRetries } = this.#options
    let retryBackoff = new Backoff(backoff, rng)
    while (this.#unwritten.size > 0 && !signal.aborted) {
      await sleep(retryBackoff.drawDelay(), signal)
      const results = await Promise.all(this.list().slice(0, maxConcurrentRetries).map(outcome => this.#tryWrite(outcome)))
      if (results.includes(true)) retryBackoff = new Backoff(backoff, rng)
    }
    this.#retrying = null
  }
}

function buildOrderKey ({ organisation, key }: OrderKey): string {
  return JSON.stringify([organisation, key])
}

function countChars ({ outcome }: UnwrittenOutcome): number {
  return OUTCOME_OVERHEAD_CHARS + (outcome.answer?.body.length ?? 0)
}
