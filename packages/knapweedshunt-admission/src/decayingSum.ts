/** Sum of amounts that fade with time. */
export class DecayingSum {
  readonly #decayMs: number
  #sum = 0
  #atMs = 0

  /** `decayMs` is the time after which an amount counts for a third. */
  constructor (decayMs: number) {
    this.#decayMs = decayMs
  }

  /** Adds an amount. */
  add (amount: number, nowMs: number): void {
    this.#sum = this.get(nowMs) + amount
    this.#atMs = nowMs
  }

  /** Current sum. */
  get (nowMs: number): number {
    return this.#sum * Math.exp((this.#atMs - nowMs) / this.#decayMs)
  }
}
