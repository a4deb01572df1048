import { DecayingSum } from './decayingSum.ts'

/** Time constant of the means of what engines tell, in milliseconds. */
const TOLD_WEIGHT_MS = 300

/** Time constant with which what was told is forgotten, in milliseconds. */
const TOLD_DECAY_MS = 1_000

/** Time for which requests that engines begin are counted, in milliseconds. */
const COUNTED_MS = 1_000

/** Weight of the newest first token in the time in which an engine begins one request. */
const FIRST_TOKEN_WEIGHT = 0.05

/** Factor by which the wait of a VM's own requests may exceed what engines tell. */
const MAX_TOLD_FACTOR = 2

/** Bounds of the weight of a load in the means. */
export interface ToldWeight {
  min: number
  max: number
}

/** Load that an engine told in a response. */
export interface ToldEngineLoad {
  running: number
  waiting: number
  slots: number
}

/** Predicts how long requests wait at the engines of a pool, from what these tell, the times to first tokens and this VM's own requests. Times are on the monotonic clock. */
export class EngineWait {
  readonly #begunCount = new DecayingSum(COUNTED_MS)
  #waiting = 0
  #placesShare = 0
  #toldAtMs = -Infinity
  #unansweredCount = 0
  #firstTokenMs = 0
  #firstTokenWaiting = 0

  /** Mean number of requests that wait at an engine, with the one that it reads. */
  get waitingCount (): number {
    return this.#waiting * Math.exp((this.#toldAtMs - performance.now()) / TOLD_DECAY_MS)
  }

  /** Mean part of an engine's places that are taken. */
  get placesShare (): number {
    return this.#placesShare
  }

  /** Time until an engine begins a request that is sent now, in milliseconds; 0 while it is not known. */
  predictMs (): number {
    if (this.#firstTokenWaiting === 0) return 0
    const beginMs = this.#firstTokenMs / this.#firstTokenWaiting
    // An engine tells the request that it reads as waiting.
    const toldMs = Math.max(0, this.waitingCount - 1) * beginMs
    const begunCount = this.#begunCount.get(performance.now())
    if (begunCount === 0) return toldMs
    const ownMs = Math.max(0, this.#unansweredCount / begunCount * COUNTED_MS - beginMs)
    // Own requests show a burst before its responses come, but also wait at engines that crashed.
    return Math.min((toldMs + ownMs) / 2, MAX_TOLD_FACTOR * toldMs)
  }

  /** Records the load told in a response. */
  recordLoad ({ running, waiting, slots }: ToldEngineLoad, { min, max }: ToldWeight): void {
    if (slots <= 0) return
    const nowMs = performance.now()
    const weight = Math.min(max, Math.max(min, 1 - Math.exp((this.#toldAtMs - nowMs) / TOLD_WEIGHT_MS)))
    // With few responses little is known: the mean is then lower than what was told, so that nothing is refused for the queues of a few engines.
    this.#waiting = this.waitingCount * (1 - weight) + weight * waiting
    this.#placesShare += (running / slots - this.#placesShare) * weight
    this.#toldAtMs = nowMs
  }

  /** Records that a request is sent. */
  recordSent (): void {
    this.#unansweredCount++
  }

  /** Records that a request which was sent has ended without a first token. */
  recordLost (): void {
    this.#unansweredCount--
  }

  /** Records the time to the first token of a request that was sent while so many requests waited at an engine in the mean. */
  recordFirstToken (firstTokenMs: number, waitingCount: number): void {
    this.#unansweredCount--
    this.#begunCount.add(1, performance.now())
    this.#firstTokenMs += (firstTokenMs - this.#firstTokenMs) * FIRST_TOKEN_WEIGHT
    this.#firstTokenWaiting += (waitingCount + 1 - this.#firstTokenWaiting) * FIRST_TOKEN_WEIGHT
  }
}
