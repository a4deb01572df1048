/** Assumed rate at which an engine computes prompts at its usual speed, until requests have shown another. */
export const ASSUMED_PREFILL_TOKENS_PER_MS = 45

/** Factor by which the learned rate may differ from the assumed one. */
const MAX_RATE_FACTOR = 2

/** Number of the latest samples that count, and the number from which they do. */
const MAX_SAMPLES = 48
const MIN_SAMPLES = 18

/** Quantile of the times that counts: work of other VMs only adds to a time. */
const TIME_QUANTILE = 0.2

/** A prompt that an engine computed beside little other work. */
interface Sample {
  /** Prompt tokens computed, times the relative run time meanwhile. */
  tokens: number
  /** Time to the first token, in milliseconds. */
  tookMs: number
}

/** Learns how long engines take for prompts of any size: the rate from how the times of long prompts differ from those of short ones, the rest from what the rate leaves. */
export class PrefillFit {
  #samples: Sample[] = []
  #tokensPerMs = ASSUMED_PREFILL_TOKENS_PER_MS
  #overheadMs = 0

  /** Prompt tokens that an engine computes in a millisecond at its usual speed. */
  get tokensPerMs (): number {
    return this.#tokensPerMs
  }

  /** Time to the first token of an empty prompt, in milliseconds. */
  get overheadMs (): number {
    return this.#overheadMs
  }

  /** Records how long the first token of a prompt took, at an engine with a run time relative to the usual one. */
  record (tokens: number, slowdown: number, tookMs: number): void {
    if (!(tokens > 0 && tookMs > 0 && Number.isFinite(tookMs * slowdown))) return
    this.#samples = [...this.#samples, { tokens: tokens * slowdown, tookMs }].slice(-MAX_SAMPLES)
    if (this.#samples.length >= MIN_SAMPLES) this.#fit(this.#samples.toSorted((a, b) => a.tokens - b.tokens))
  }

  /** Compares the smaller third of the prompts with the larger third. */
  #fit (sorted: Sample[]): void {
    const count = Math.floor(sorted.length / 3)
    const [small, large] = [sorted.slice(0, count), sorted.slice(-count)]
    const moreTokens = computeMeanTokens(large) - computeMeanTokens(small)
    const moreMs = findQuantile(large.map(({ tookMs }) => tookMs)) - findQuantile(small.map(({ tookMs }) => tookMs))
    // Prompts of about one size tell no rate.
    if (moreTokens > computeMeanTokens(small)) this.#tokensPerMs = Math.min(ASSUMED_PREFILL_TOKENS_PER_MS * MAX_RATE_FACTOR, moreTokens / Math.max(1, Math.min(moreMs, moreTokens * MAX_RATE_FACTOR / ASSUMED_PREFILL_TOKENS_PER_MS)))
    this.#overheadMs = Math.max(0, findQuantile(sorted.map(({ tokens, tookMs }) => tookMs - tokens / this.#tokensPerMs)))
  }
}

function computeMeanTokens (samples: readonly Sample[]): number {
  return samples.reduce((sum, { tokens }) => sum + tokens, 0) / samples.length
}

function findQuantile (values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length * TIME_QUANTILE)]
}
