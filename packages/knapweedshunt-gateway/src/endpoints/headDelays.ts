/** Time for which the delay of a response counts, in milliseconds. */
const MAX_DELAY_AGE_MS = 2_000

/** How long an endpoint took lately from a request to the head of its response; queues and long prompts ahead show in it. */
export class HeadDelays {
  /** Monotonic times at which the attempts without a head were sent. */
  readonly #unanswered = new Set<number>()
  #lastDelayMs = 0
  #lastHeadAtMs = -Infinity

  /** Number of attempts of this VM without a head. */
  get unansweredCount (): number {
    return this.#unanswered.size
  }

  /** Time since the oldest attempt without a head was sent, in milliseconds; 0 without one. */
  getOldestMs (nowMs: number): number {
    const [oldestAtMs = nowMs] = this.#unanswered
    return nowMs - oldestAtMs
  }

  /** Records that an attempt is sent; the time identifies it. */
  recordStart (startedAtMs: number): void {
    this.#unanswered.add(startedAtMs)
  }

  /** Records the head of a response. */
  recordHead (startedAtMs: number): void {
    if (!this.#unanswered.delete(startedAtMs)) return
    const nowMs = performance.now()
    this.#lastDelayMs = nowMs - startedAtMs
    this.#lastHeadAtMs = nowMs
  }

  /** Records the end of an attempt, with or without a response. */
  recordEnd (startedAtMs: number): void {
    this.#unanswered.delete(startedAtMs)
  }

  /** Estimates after what time the next response begins, in milliseconds; 0 if nothing is known. */
  estimateMs (): number {
    const nowMs = performance.now()
    const [oldestAtMs = nowMs] = this.#unanswered
    return Math.max(nowMs - oldestAtMs, nowMs - this.#lastHeadAtMs < MAX_DELAY_AGE_MS ? this.#lastDelayMs : 0)
  }
}
