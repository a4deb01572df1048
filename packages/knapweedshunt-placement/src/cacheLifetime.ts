/** Share of the difference by which one unexpected hit or miss moves the estimate. */
const GAIN = 0.1

/** Lower bound of the estimate, in milliseconds. */
const MIN_LIFETIME_MS = 1_000

/** Estimates how long a prefix stays in the caches of a pool, from the cached tokens that responses report. */
export class CacheLifetime {
  readonly #maxLifetimeMs: number
  #lifetimeMs: number

  constructor (maxLifetimeMs: number) {
    this.#maxLifetimeMs = maxLifetimeMs
    this.#lifetimeMs = maxLifetimeMs
  }

  /** Age up to which a prefix is expected to be cached, in milliseconds. */
  get lifetimeMs (): number {
    return this.#lifetimeMs
  }

  /** Records whether a prefix last used `ageMs` ago was still cached. */
  recordReuse (ageMs: number, isCached: boolean): void {
    if (isCached === (ageMs <= this.#lifetimeMs)) return
    const next = this.#lifetimeMs + GAIN * (ageMs - this.#lifetimeMs)
    this.#lifetimeMs = Math.min(this.#maxLifetimeMs, Math.max(MIN_LIFETIME_MS, next))
  }
}
