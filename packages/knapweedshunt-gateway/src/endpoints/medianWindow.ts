/** Number of the latest samples that count. */
const MAX_SAMPLES = 31

/** Number of samples from which their median replaces the assumed value. */
const MIN_SAMPLES = 5

/** Median of the latest samples within bounds; an assumed value until there are enough. */
export class MedianWindow {
  readonly #min: number
  readonly #max: number
  #samples: number[] = []
  #median: number

  constructor (assumed: number, min: number, max: number) {
    this.#median = assumed
    this.#min = min
    this.#max = max
  }

  get median (): number {
    return this.#median
  }

  /** Records a sample; one beyond the bounds counts as the bound, and one that is not finite is ignored. */
  record (sample: number): void {
    if (!Number.isFinite(sample)) return
    this.#samples = [...this.#samples, Math.min(this.#max, Math.max(this.#min, sample))].slice(-MAX_SAMPLES)
    if (this.#samples.length >= MIN_SAMPLES) this.#median = this.#samples.toSorted((a, b) => a - b)[Math.floor(this.#samples.length / 2)]
  }
}
