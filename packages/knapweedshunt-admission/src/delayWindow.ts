import type { WindowOptions } from './admissionOptions.ts'

/** Fewest delays that a decision rests on. */
const MIN_SAMPLES = 16

/**
 * Concurrency window of one endpoint. After a window's worth of delays it shrinks by a factor when too many were late (by a stronger one when most were),
 * and grows by one when none of them was and the window was in use.
 */
export class DelayWindow {
  readonly #options: WindowOptions
  #size: number
  #inFlight = 0
  #peak = 0
  #samples = 0
  #late = 0

  constructor (options: WindowOptions) {
    this.#options = options
    this.#size = options.initial
  }

  /** Most attempts that the endpoint should have in flight; a whole number of at least `min`. */
  get size (): number {
    return Math.floor(this.#size)
  }

  /** Attempts in flight. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Whether the endpoint has all it should have. */
  isFull (): boolean {
    return this.#inFlight >= this.size
  }

  /** An attempt went there. */
  noteStarted (): void {
    this.#inFlight++
    this.#peak = Math.max(this.#peak, this.#inFlight)
  }

  /** An attempt is over. */
  noteFinished (): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1)
  }

  /** Takes the delay to a first token. */
  noteDelay (firstTokenMs: number, tokens: number): void {
    const { targetMs, tokenMs } = this.#options
    this.#samples++
    if (firstTokenMs > targetMs + tokens * tokenMs) this.#late++
    if (this.#samples >= Math.max(MIN_SAMPLES, this.size)) this.#decide()
  }

  /** The endpoint said that it has too much, or gave nothing in time. */
  noteOverloaded (): void {
    this.#shrink(this.#options.shrink)
    this.#restart()
  }

  #decide (): void {
    if (this.#late > this.#samples / 2) this.#shrink(this.#options.fastShrink)
    else if (this.#late > this.#samples * this.#options.lateShare) this.#shrink(this.#options.shrink)
    else if (this.#peak >= this.size) this.#size = Math.min(this.#options.max, this.#size + 1)
    this.#restart()
  }

  #shrink (factor: number): void {
    this.#size = Math.max(this.#options.min, this.#size * factor)
  }

  #restart (): void {
    this.#samples = 0
    this.#late = 0
    this.#peak = this.#inFlight
  }
}
