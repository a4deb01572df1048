import type { EndpointState } from './endpointState.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { KeptEntry, KvImport } from './placementTypes.ts'
import type { ChainLink } from './prefixChain.ts'

/** An import must cost at most this share of the computing it saves. */
const IMPORT_SHARE = 0.8

/** An import and what it costs. */
export interface ImportPlan {
  kvImport: KvImport
  /** Time of the import, as prompt tokens at weight 1. */
  costTokens: number
}

/** Kept KV caches by level key. Keys are salted: an equal key means equal organisation, model, adapter, weights and text. */
export class KeptTable {
  readonly #options: PlacementOptions
  #tokens = new Map<string, number>()

  constructor (options: PlacementOptions) {
    this.#options = options
  }

  /** Takes the whole list; what is beyond the capacity is left out. */
  take (entries: KeptEntry[]): void {
    this.#tokens = new Map(entries.slice(0, this.#options.keptCapacity).map(({ key, tokens }) => [key, tokens]))
  }

  /**
   * Deepest import that is clearly cheaper than to compute what it brings.
   * It is named even where the cache is expected to hold it: the endpoint imports only what it lacks.
   */
  findImport (chain: ChainLink[], state: EndpointState, cachedTokens: number): ImportPlan | null {
    if (this.#tokens.size === 0) return null
    for (const { level } of chain.toReversed()) {
      const tokens = this.#tokens.get(level)
      if (tokens === undefined || this.#countCost(tokens) > tokens / state.weight * IMPORT_SHARE) continue
      const missing = Math.max(0, tokens - cachedTokens)
      return { kvImport: { key: level, tokens }, costTokens: missing === 0 ? 0 : this.#countCost(missing) }
    }
    return null
  }

  #countCost (tokens: number): number {
    const ms = this.#options.importStartMs + tokens / this.#options.importTokensPerS * 1_000
    return ms * this.#options.prefillTokensPerS / 1_000
  }
}
