import { hashText } from 'knapweedshunt-utils'
import type { EndpointRecord } from './endpointRecord.ts'

/** Prompts from this size on are long: reading one holds up the tokens of all streams at its engine for several steps. */
const LONG_TOKENS = 2_048

/** Share of a pool's endpoints kept for short prompts while both kinds come; one engine decodes some hundred streams a second. */
const SHORT_SHARE = 0.1

/** Time without a request after which a kind needs no endpoints of its own, in milliseconds. */
const KIND_MS = 5_000

interface Seen {
  shortAtMs: number
  longAtMs: number
}

/**
 * Keeps streams of short prompts away from engines that read long ones. An engine gives an event only every few steps,
 * and a step that reads a piece of a long prompt takes many times longer than one that does not.
 */
export class PromptLanes {
  readonly #seen = new Map<string, Seen>()
  readonly #order = new Map<string, string>()

  /** Selects the endpoints for a prompt; the same on all VMs that see the same endpoints. */
  select (pool: string, records: EndpointRecord[], tokens: number): EndpointRecord[] {
    const isLong = tokens >= LONG_TOKENS
    const seen = this.#note(pool, isLong)
    const nowMs = performance.now()
    const hasBoth = nowMs - seen.shortAtMs < KIND_MS && nowMs - seen.longAtMs < KIND_MS
    if (!hasBoth || records.length < 2) return records
    const ranked = records.map(record => ({ record, rank: this.#rank(record.entry.endpoint) })).sort((a, b) => a.rank < b.rank ? -1 : 1).map(one => one.record)
    const shortCount = Math.max(1, Math.ceil(ranked.length * SHORT_SHARE))
    if (isLong) return ranked.slice(shortCount)
    const short = ranked.slice(0, shortCount)
    return short.some(hasRoom) ? short : records
  }

  #note (pool: string, isLong: boolean): Seen {
    const seen = this.#seen.get(pool) ?? { shortAtMs: -Infinity, longAtMs: -Infinity }
    if (isLong) seen.longAtMs = performance.now()
    else seen.shortAtMs = performance.now()
    this.#seen.set(pool, seen)
    return seen
  }

  #rank (endpoint: string): string {
    const known = this.#order.get(endpoint)
    if (known !== undefined) return known
    const rank = hashText('lane', endpoint)
    this.#order.set(endpoint, rank)
    return rank
  }
}

function hasRoom ({ load, entry, open }: EndpointRecord): boolean {
  if (load === null) return open < entry.slots
  return load.waiting === 0 && load.running < load.slots
}
