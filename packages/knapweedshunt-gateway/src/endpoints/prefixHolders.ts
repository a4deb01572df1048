import type { PrefixLevel } from 'knapweedshunt-types'
import type { EndpointRecord } from './endpointRecord.ts'

/** Most prefixes remembered; the one that was longest without a request goes first. */
const MAX_PREFIXES = 8_192

/** Age from which on a prefix is no longer expected at its holder, in milliseconds; engines evict what was not used for some seconds. */
const HOLD_MS = 10_000

/** Holders remembered of one prefix. */
const MAX_HOLDERS = 2

/** Least tokens worth bringing from another endpoint: below, the set-up of a transfer takes longer than reading them. */
const MIN_SOURCE_TOKENS = 256

interface Holder {
  record: EndpointRecord
  /** What the endpoint's cache was then: the salt names wall, model and weights. */
  salt: string
  atMs: number
}

/** Which endpoints read a prefix lately, as this VM saw it. */
export class PrefixHolders {
  readonly #holders = new Map<string, Holder[]>()
  readonly #isUsable: (record: EndpointRecord) => boolean

  constructor (isUsable: (record: EndpointRecord) => boolean) {
    this.#isUsable = isUsable
  }

  /** Notes that an endpoint read a prompt's levels under a salt. */
  note (levels: PrefixLevel[], salt: string, record: EndpointRecord): void {
    const atMs = performance.now()
    for (const { key } of levels) {
      const others = (this.#holders.get(key) ?? []).filter(holder => holder.record !== record)
      this.#holders.delete(key)
      this.#holders.set(key, [{ record, salt, atMs }, ...others].slice(0, MAX_HOLDERS))
    }
    for (const oldest of this.#holders.keys()) {
      if (this.#holders.size <= MAX_PREFIXES) return
      this.#holders.delete(oldest)
    }
  }

  /** Finds an endpoint from which a chosen one can bring the longest prefix that it is not known to have itself. */
  findSource (levels: PrefixLevel[], salt: string, chosen: EndpointRecord): EndpointRecord | null {
    const sinceMs = performance.now() - HOLD_MS
    for (const { key, tokens } of levels.toReversed()) {
      if (tokens < MIN_SOURCE_TOKENS) return null
      const holders = (this.#holders.get(key) ?? []).filter(holder => holder.salt === salt && holder.atMs >= sinceMs)
      if (holders.some(holder => holder.record === chosen)) return null
      const source = holders.find(holder => this.#isUsable(holder.record))
      if (source !== undefined) return source.record
    }
    return null
  }
}
