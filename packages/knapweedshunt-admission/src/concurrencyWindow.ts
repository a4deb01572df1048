import type { WindowOptions } from './admissionOptions.ts'

/** Minimum number of delays before the window size is adjusted. */
const MIN_SAMPLES = 16

/**
 * Concurrency window of one endpoint, adjusted once per window's worth of first-token delays. It is multiplied by a shrink factor
 * when too many delays exceeded the target, with a stronger factor when most did. Otherwise it grows by one if it was full at some time.
 */
export class ConcurrencyWindow {
  readonly #options: WindowOptions
  #size: number
  #inFlight = 0
  #peakInFlight = 0
  #sampleCount = 0
  #lateCount = 0

  constructor (options: WindowOptions) {
    this.#options = options
    this.#size = options.initial
  }

  /** Maximum number of attempts in flight, rounded down. */
  get size (): number {
    return Math.floor(this.#size)
  }

  /** Number of attempts in flight. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Whether the endpoint should receive no further attempt. */
  isFull (): boolean {
    return this.#inFlight >= this.size
  }

  /** Counts an attempt sent to the endpoint. */
  recordStart (): void {
    this.#inFlight++
    this.#peakInFlight = Math.max(this.#peakInFlight, this.#inFlight)
  }

  /** Counts an attempt that ended. */
  recordFinish (): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1)
  }

  /** Records a time to the first token; adjusts the size after enough of them. `tokens` is the prompt length. */
  recordFirstTokenDelay (firstTokenMs: number, tokens: number): void {
    const { targetMs, allowanceMsPerToken } = this.#options
    this.#sampleCount++
    if (firstTokenMs > targetMs + tokens * allowanceMsPerToken) this.#lateCount++
    if (this.#sampleCount >= Math.max(MIN_SAMPLES, this.size)) this.#adjustSize()
  }

  /** Shrinks the window because the endpoint reported overload or did not answer in time. */
  recordOverload (): void {
    this.#shrink(this.#options.shrinkFactor)
    this.#resetSamples()
  }

  #adjustSize (): void {
    if (this.#lateCount > this.#sampleCount / 2) this.#shrink(this.#options.fastShrinkFactor)
    else if (this.#lateCount > this.#sampleCount * this.#options.lateShareThreshold) this.#shrink(this.#options.shrinkFactor)
    else if (this.#peakInFlight >= this.size) this.#size = Math.min(this.#options.max, this.#size + 1)
    this.#resetSamples()
  }

  #shrink (factor: number): void {
    this.#size = Math.max(this.#options.min, this.#size * factor)
  }

  #resetSamples (): void {
    this.#sampleCount = 0
    this.#lateCount = 0
    this.#peakInFlight = this.#inFlight
  }
}
