/** Number of most recent delays kept. */
const MAX_SAMPLES = 128

/** Minimum number of delays for a quantile. */
const MIN_SAMPLES = 32

/** The quantile is recomputed after this many new delays. */
const REFRESH_SAMPLES = 16

/** Quantile of the most recent first-token delays, used as the delay before a hedged attempt. */
export class DelayQuantile {
  readonly #quantile: number
  readonly #samplesMs: number[] = []
  #count = 0
  #valueMs: number | null = null

  /** `quantile` is between 0 and 1. */
  constructor (quantile: number) {
    this.#quantile = quantile
  }

  /** Records a delay in milliseconds. */
  record (delayMs: number): void {
    this.#samplesMs[this.#count % MAX_SAMPLES] = delayMs
    this.#count++
    if (this.#samplesMs.length >= MIN_SAMPLES && this.#count % REFRESH_SAMPLES === 0) this.#compute()
  }

  /** Quantile in milliseconds as last computed; null while there are too few delays. */
  getValueMs (): number | null {
    return this.#valueMs
  }

  #compute (): void {
    const sorted = this.#samplesMs.toSorted((a, b) => a - b)
    this.#valueMs = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * this.#quantile))]
  }
}
