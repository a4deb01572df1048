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

  /** Deepest import that is clearly cheaper than to compute what it brings beyond `cachedTokens`. */
  findImport (chain: ChainLink[], state: EndpointState, cachedTokens: number): ImportPlan | null {
    if (this.#tokens.size === 0) return null
    for (const { level } of chain.toReversed()) {
      const tokens = this.#tokens.get(level)
      if (tokens === undefined || tokens <= cachedTokens) continue
      const costTokens = this.#countCost(tokens - cachedTokens)
      const savedTokens = (tokens - cachedTokens) / state.weight
      return costTokens <= savedTokens * IMPORT_SHARE ? { kvImport: { key: level, tokens }, costTokens } : null
    }
    return null
  }

  #countCost (tokens: number): number {
    const ms = this.#options.importStartMs + tokens / this.#options.importTokensPerS * 1_000
    return ms * this.#options.prefillTokensPerS / 1_000
  }
}
