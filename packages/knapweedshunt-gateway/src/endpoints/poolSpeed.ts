import { MedianWindow } from './medianWindow.ts'
import { PrefillFit } from './prefillFit.ts'

/** Assumed run time of a request at a plain service, in milliseconds, and the longest learned one. */
const ASSUMED_RUN_MS = 20
const MAX_RUN_MS = 2_000

/** Weight of the newest request in the moving mean of prompt tokens. */
const MEAN_TOKENS_WEIGHT = 0.05

/** Time constant of the mean wait, in milliseconds, and the greatest weight of one report in it. */
const MEAN_WAIT_MS = 300
const MAX_WAIT_WEIGHT = 0.4

/** A piece of work that an endpoint did without other work. */
export interface SpeedSample {
  /** Time that it took, in milliseconds. */
  tookMs: number
  /** Run time of the endpoint meanwhile, relative to the usual one. */
  slowdown: number
}

/** How fast the endpoints of one pool work at their usual speed. */
export class PoolSpeed {
  readonly #prefill = new PrefillFit()
  readonly #runMs = new MedianWindow(ASSUMED_RUN_MS, 1, MAX_RUN_MS)
  #meanPromptTokens: number | null = null
  #meanWaitTokens = 0
  #waitAtMs = -Infinity

  /** Prompt tokens that an engine computes in a millisecond. */
  get prefillTokensPerMs (): number {
    return this.#prefill.tokensPerMs
  }

  /** Time to the first token of an empty prompt at an engine without other work, in milliseconds. */
  get overheadMs (): number {
    return this.#prefill.overheadMs
  }

  /** Run time of a request at a plain service, in milliseconds. */
  get runMs (): number {
    return this.#runMs.median
  }

  /** Moving mean of the prompt tokens that requests of this VM had computed; 0 before the first. */
  get meanPromptTokens (): number {
    return this.#meanPromptTokens ?? 0
  }

  /** Whether an endpoint of the pool has stated its run time. */
  get isStated (): boolean {
    return this.#waitAtMs > -Infinity
  }

  /** Moving mean of the waits at endpoints when they reported their loads, in prompt tokens at the assumed rate. */
  get meanWaitTokens (): number {
    return this.#meanWaitTokens
  }

  /** Records the wait at an endpoint that states its run time, in prompt tokens at the assumed rate. */
  recordWait (waitTokens: number, nowMs: number): void {
    const weight = Math.min(MAX_WAIT_WEIGHT, 1 - Math.exp((this.#waitAtMs - nowMs) / MEAN_WAIT_MS))
    this.#meanWaitTokens += (waitTokens - this.#meanWaitTokens) * weight
    this.#waitAtMs = nowMs
  }

  /** Records the prompt tokens that an endpoint is expected to compute for a request. */
  recordPromptTokens (tokens: number): void {
    this.#meanPromptTokens = this.#meanPromptTokens === null ? tokens : this.#meanPromptTokens + (tokens - this.#meanPromptTokens) * MEAN_TOKENS_WEIGHT
  }

  /** Records a prompt of which an engine computed a number of tokens. */
  recordPrefill (tokens: number, { tookMs, slowdown }: SpeedSample): void {
    this.#prefill.record(tokens, slowdown, tookMs)
  }

  /** Records a request that a plain service ran. */
  recordRun ({ tookMs, slowdown }: SpeedSample): void {
    this.#runMs.record(tookMs / slowdown)
  }
}
