import { Backoff } from 'knapweedshunt-platform'
import type { BackoffOptions } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { UnwrittenOutcome } from './closedBook.ts'
import type { OrderRequest } from './orderRequest.ts'

type OrderKey = Pick<OrderRequest, 'organisation' | 'key'>

/** Characters that an outcome takes beside its answer: names, keys and the map's own share. */
export const OUTCOME_CHARS = 1_024

/** Options of the writer. */
export interface OutcomeWriterOptions {
  /** Writes one outcome; rejects when no answer came. Writing twice is harmless. */
  write (outcome: UnwrittenOutcome): Promise<void>
  backoff: BackoffOptions
  rng: Rng
  signal: AbortSignal
  /** Most outcomes tried at once after a failure. */
  maxTries: number
}

/** Holds outcomes of this process until the tables have them. Each is tried at once; one task tries those that failed again. */
export class OutcomeWriter {
  readonly #options: OutcomeWriterOptions
  readonly #unwritten = new Map<string, UnwrittenOutcome>()
  readonly #waiters = new Map<string, () => void>()
  #retrying: Promise<void> | null = null
  #heldChars = 0

  constructor (options: OutcomeWriterOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#unwritten.size
  }

  /** Size of what is held, in characters. */
  get heldChars (): number {
    return this.#heldChars
  }

  /** Takes an outcome; it is found here until it is written. */
  add (outcome: UnwrittenOutcome): void {
    const name = nameOrder(outcome.order)
    this.#drop(name)
    this.#unwritten.set(name, outcome)
    this.#heldChars += countChars(outcome)
    this.#tryWrite(outcome).then(isWritten => {
      if (!isWritten) this.#retrying ??= this.#retryAll()
    })
  }

  find (order: OrderKey): UnwrittenOutcome | null {
    return this.#unwritten.get(nameOrder(order)) ?? null
  }

  list (): UnwrittenOutcome[] {
    return [...this.#unwritten.values()]
  }

  /** Resolves when the order's outcome is written, or after `maxMs`. */
  async waitWritten (order: OrderKey, maxMs: number): Promise<void> {
    const name = nameOrder(order)
    if (!this.#unwritten.has(name)) return
    const over = new AbortController()
    this.#waiters.set(name, () => over.abort())
    await sleep(maxMs, over.signal)
    this.#waiters.delete(name)
  }

  /** Resolves when all outcomes are written, or the signal aborted. */
  async waitEmpty (): Promise<void> {
    const { signal, backoff } = this.#options
    while (this.#unwritten.size > 0 && !signal.aborted) await sleep(backoff.firstMs, signal)
  }

  async #tryWrite (outcome: UnwrittenOutcome): Promise<boolean> {
    const name = nameOrder(outcome.order)
    try {
      await this.#options.write(outcome)
    } catch {
      return false
    }
    this.#drop(name)
    this.#waiters.get(name)?.()
    return true
  }

  #drop (name: string): void {
    const known = this.#unwritten.get(name)
    if (known === undefined) return
    this.#unwritten.delete(name)
    this.#heldChars -= countChars(known)
  }

  async #retryAll (): Promise<void> {
    const { backoff, rng, signal, maxTries } = this.#options
    let delays = new Backoff(backoff, rng)
    while (this.#unwritten.size > 0 && !signal.aborted) {
      await sleep(delays.drawDelay(), signal)
      const results = await Promise.all(this.list().slice(0, maxTries).map(outcome => this.#tryWrite(outcome)))
      if (results.includes(true)) delays = new Backoff(backoff, rng)
    }
    this.#retrying = null
  }
}

function nameOrder ({ organisation, key }: OrderKey): string {
  return JSON.stringify([organisation, key])
}

function countChars ({ outcome }: UnwrittenOutcome): number {
  return OUTCOME_CHARS + (outcome.answer?.body.length ?? 0)
}
