import type { EndpointState } from './endpointState.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { KvStoreEntry, KvImport } from './placementTypes.ts'
import type { ChainLink } from './prefixChain.ts'

/** An import must cost at most this share of the computation that it saves. */
const MAX_IMPORT_COST_SHARE = 0.8

/** An import and its cost. */
export interface ImportPlan {
  kvImport: KvImport
  /** Duration of the import, in prompt tokens at weight 1. */
  costTokens: number
}

/** Entries of the KV store by level key. Keys are salted: an equal key means equal organisation, model, adapter, weights and text. */
export class KvStoreIndex {
  readonly #options: PlacementOptions
  #tokensByKey = new Map<string, number>()

  constructor (options: PlacementOptions) {
    this.#options = options
  }

  /** Replaces all entries; those beyond the capacity are ignored. */
  replaceEntries (entries: KvStoreEntry[]): void {
    this.#tokensByKey = new Map(entries.slice(0, this.#options.kvStoreCapacity).map(({ key, tokens }) => [key, tokens]))
  }

  /**
   * Finds the deepest import that is clearly cheaper than computing the same tokens.
   * It is returned even if the tokens are expected to be cached: the endpoint imports only those that are missing.
   */
  findImport (chain: ChainLink[], state: EndpointState, cachedTokens: number): ImportPlan | null {
    if (this.#tokensByKey.size === 0) return null
    for (const { levelKey } of chain.toReversed()) {
      const tokens = this.#tokensByKey.get(levelKey)
      if (tokens === undefined || this.#countCostTokens(tokens) > tokens / state.weight * MAX_IMPORT_COST_SHARE) continue
      const missing = Math.max(0, tokens - cachedTokens)
      return { kvImport: { key: levelKey, tokens }, costTokens: missing === 0 ? 0 : this.#countCostTokens(missing) }
    }
    return null
  }

  #countCostTokens (tokens: number): number {
    const ms = this.#options.importLatencyMs + tokens / this.#options.importTokensPerS * 1_000
    return ms * this.#options.prefillTokensPerS / 1_000
  }
}
