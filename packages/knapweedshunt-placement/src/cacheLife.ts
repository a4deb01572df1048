/** Share of the difference that one miss or hit moves the estimate by. */
const GAIN = 0.1

/** Bounds of the estimate, in milliseconds. */
const LEAST_MS = 1_000

/** Learns from answers how long a prefix stays in the caches of a pool. */
export class CacheLife {
  readonly #mostMs: number
  #lifeMs: number

  constructor (mostMs: number) {
    this.#mostMs = mostMs
    this.#lifeMs = mostMs
  }

  /** Age up to which a prefix is expected to be cached, in milliseconds. */
  get lifeMs (): number {
    return this.#lifeMs
  }

  /** Notes whether a prefix last used `ageMs` ago was still cached. */
  note (ageMs: number, isCached: boolean): void {
    if (isCached === (ageMs <= this.#lifeMs)) return
    const next = this.#lifeMs + GAIN * (ageMs - this.#lifeMs)
    this.#lifeMs = Math.min(this.#mostMs, Math.max(LEAST_MS, next))
  }
}
