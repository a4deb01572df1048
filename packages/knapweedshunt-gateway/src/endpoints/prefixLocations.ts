import type { PrefixLevel } from 'knapweedshunt-types'
import type { EndpointRecord } from './endpointRecord.ts'

/** Maximum number of prefixes held; the least recently requested ones are evicted first. */
const MAX_PREFIXES = 8_192

/** Age from which on a prefix is no longer expected in an endpoint's cache, in milliseconds; engines evict what was not used for some seconds. */
const MAX_LOCATION_AGE_MS = 10_000

/** Maximum number of endpoints held for one prefix; the most recent ones are kept. */
const MAX_LOCATIONS_PER_PREFIX = 2

/** Minimum number of tokens for a transfer from another endpoint: below, setting up the transfer takes longer than computing them. */
const MIN_SOURCE_TOKENS = 256

interface PrefixLocation {
  record: EndpointRecord
  /** Cache salt at that time; it identifies isolation scope, model and weights version. */
  salt: string
  readAtMs: number
}

/** Endpoints that recently computed each prefix, as observed by this VM. */
export class PrefixLocations {
  readonly #locations = new Map<string, PrefixLocation[]>()
  readonly #isUsable: (record: EndpointRecord) => boolean

  constructor (isUsable: (record: EndpointRecord) => boolean) {
    this.#isUsable = isUsable
  }

  /** Records that an endpoint computed a prompt's levels under a salt. */
  recordLocation (levels: PrefixLevel[], salt: string, record: EndpointRecord): void {
    const readAtMs = performance.now()
    for (const { key } of levels) {
      const others = (this.#locations.get(key) ?? []).filter(location => location.record !== record)
      this.#locations.delete(key)
      this.#locations.set(key, [{ record, salt, readAtMs }, ...others].slice(0, MAX_LOCATIONS_PER_PREFIX))
    }
    for (const oldest of this.#locations.keys()) {
      if (this.#locations.size <= MAX_PREFIXES) return
      this.#locations.delete(oldest)
    }
  }

  /** Finds an endpoint from which the chosen one can fetch the longest recently computed prefix; null when the chosen one is itself known to have it, or no prefix is worth a transfer. */
  findSource (levels: PrefixLevel[], salt: string, chosen: EndpointRecord): EndpointRecord | null {
    const sinceMs = performance.now() - MAX_LOCATION_AGE_MS
    for (const { key, tokens } of levels.toReversed()) {
      if (tokens < MIN_SOURCE_TOKENS) return null
      const locations = (this.#locations.get(key) ?? []).filter(location => location.salt === salt && location.readAtMs >= sinceMs)
      if (locations.some(location => location.record === chosen)) return null
      const source = locations.find(location => this.#isUsable(location.record))
      if (source !== undefined) return source.record
    }
    return null
  }
}
