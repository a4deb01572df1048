/** Delays remembered. */
const MAX_SAMPLES = 128

/** Fewest delays that a quantile is read from. */
const MIN_SAMPLES = 32

/** New delays after which the quantile is computed anew. */
const REFRESH_SAMPLES = 16

/** Quantile of the last delays, for the time after which a hedge is worth it. */
export class DelayQuantile {
  readonly #quantile: number
  readonly #samples: number[] = []
  #count = 0
  #value: number | null = null

  /** `quantile` is between 0 and 1. */
  constructor (quantile: number) {
    this.#quantile = quantile
  }

  /** Takes a delay in milliseconds. */
  note (ms: number): void {
    this.#samples[this.#count % MAX_SAMPLES] = ms
    this.#count++
    if (this.#samples.length >= MIN_SAMPLES && this.#count % REFRESH_SAMPLES === 0) this.#compute()
  }

  /** Present value in milliseconds, null while too little is known. */
  read (): number | null {
    return this.#value
  }

  #compute (): void {
    const sorted = this.#samples.toSorted((a, b) => a - b)
    this.#value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * this.#quantile))]
  }
}
