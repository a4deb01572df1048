import type { PoolSpeed } from './poolSpeed.ts'
import { ASSUMED_PREFILL_TOKENS_PER_MS } from './prefillFit.ts'

/** Time constant with which a stated run time gives way to the learned mean, in milliseconds; endpoints state another many times a second. */
const STATED_DECAY_MS = 250

/** Time constant with which the learned mean follows stated run times, in milliseconds. */
const LEARNING_MS = 4_000

/** Greatest weight of one statement in the learned mean, however long ago the one before was. */
const MAX_STATEMENT_WEIGHT = 0.75

/** Bounds of a run time relative to the usual one. */
const MIN_SLOWDOWN = 0.25
const MAX_SLOWDOWN = 8

/** How fast an endpoint works: its mean run time relative to the usual one, apart from what it stated last, and the rate at which it computes prompts. */
export class EndpointSpeed {
  readonly #poolSpeed: PoolSpeed
  #learnedSlowdown = 1
  #lastSlowdown = 1
  #lastAtMs = -Infinity

  /** `poolSpeed` is shared by the endpoints of a pool. */
  constructor (poolSpeed: PoolSpeed) {
    this.#poolSpeed = poolSpeed
  }

  /** Whether the endpoint has stated its run time. */
  get isStated (): boolean {
    return this.#lastAtMs > -Infinity
  }

  /** Mean run time relative to the usual one; 1 for an endpoint that states none. */
  get learnedSlowdown (): number {
    return this.#learnedSlowdown
  }

  /** Prompt tokens per second that the endpoint computes in the mean. */
  get prefillTokensPerS (): number {
    return this.#poolSpeed.prefillTokensPerMs * 1_000 / this.#learnedSlowdown
  }

  /** Records the run time that a response stated, relative to the usual one. */
  recordSlowdown (stated: number, nowMs: number): void {
    const slowdown = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, stated))
    const weight = this.isStated ? Math.min(MAX_STATEMENT_WEIGHT, 1 - Math.exp(-(nowMs - this.#lastAtMs) / LEARNING_MS)) : 1
    this.#learnedSlowdown += (slowdown - this.#learnedSlowdown) * weight
    this.#lastSlowdown = slowdown
    this.#lastAtMs = nowMs
  }

  /** Records how long the first token of a prompt took at an endpoint without other work. Counts only for endpoints that state their run time; for the others the assumed rate stays. */
  recordFirstToken (computedTokens: number, tookMs: number, nowMs: number): void {
    if (this.isStated && computedTokens > 0) this.#poolSpeed.recordPrefill(computedTokens, { tookMs, slowdown: this.estimateSlowdown(nowMs) })
  }

  /** Records how long a plain service took for a request that did not wait; counts as {@link recordFirstToken} does. */
  recordRun (tookMs: number, nowMs: number): void {
    if (this.isStated) this.#poolSpeed.recordRun({ tookMs, slowdown: this.estimateSlowdown(nowMs) })
  }

  /** Estimates the present run time relative to the usual one: what was stated last, ageing toward the learned mean. */
  estimateSlowdown (nowMs: number): number {
    if (!this.isStated) return 1
    return this.#learnedSlowdown + (this.#lastSlowdown - this.#learnedSlowdown) * Math.exp(-(nowMs - this.#lastAtMs) / STATED_DECAY_MS)
  }

  /** Estimates the time from now to the first token of a request, in milliseconds, by the prompt tokens to compute before: those ahead of a request and its own that are not cached. */
  estimateFirstTokenMs (promptTokensToRead: number, nowMs: number): number {
    return this.#poolSpeed.overheadMs + promptTokensToRead / this.#poolSpeed.prefillTokensPerMs * this.estimateSlowdown(nowMs)
  }

  /** Estimates the present time for a prompt token, relative to that of the assumed rate. */
  estimateTokenTime (nowMs: number): number {
    return this.estimateSlowdown(nowMs) * ASSUMED_PREFILL_TOKENS_PER_MS / this.#poolSpeed.prefillTokensPerMs
  }

  /** Capacity relative to an endpoint of the assumed rate at its usual speed, in the mean. */
  get capacity (): number {
    return this.#poolSpeed.prefillTokensPerMs / ASSUMED_PREFILL_TOKENS_PER_MS / this.#learnedSlowdown
  }
}
