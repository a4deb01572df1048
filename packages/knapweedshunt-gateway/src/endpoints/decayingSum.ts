/** Sum of which what was added fades with time. */
export class DecayingSum {
  readonly #timeConstantMs: number
  #sum = 0
  #atMs = -Infinity

  constructor (timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs
  }

  /** Adds an amount at a time that is not before the last one. */
  add (amount: number, nowMs: number): void {
    this.#sum = this.compute(nowMs) + amount
    this.#atMs = nowMs
  }

  /** Computes what is left of the sum. */
  compute (nowMs: number): number {
    return this.#sum === 0 ? 0 : this.#sum * Math.exp((this.#atMs - nowMs) / this.#timeConstantMs)
  }
}
