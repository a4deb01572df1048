import { hashText } from 'knapweedshunt-utils'
import type { EndpointRecord } from './endpointRecord.ts'

/** Prompts from this size on are long: computing one delays the tokens of all streams of its engine for several steps. */
const MIN_LONG_PROMPT_TOKENS = 2_048

/** Fraction of a pool's endpoints reserved for short prompts while both sizes arrive; one engine decodes some hundred streams per second. */
const SHORT_PROMPT_ENDPOINT_SHARE = 0.1

/** Time without a request after which a size class needs no endpoints of its own, in milliseconds. */
const SIZE_CLASS_IDLE_MS = 5_000

interface LastArrivals {
  shortAtMs: number
  longAtMs: number
}

/**
 * Separates streams of short prompts from engines that compute long ones. An engine emits an event only every few steps,
 * and a step that computes a chunk of a long prompt takes many times longer than one that does not.
 */
export class PromptSizePartition {
  readonly #lastArrivals = new Map<string, LastArrivals>()
  readonly #ranks = new Map<string, string>()

  /** Selects the endpoints for a prompt of a size; VMs that see the same endpoints select the same ones. */
  select (pool: string, records: EndpointRecord[], tokens: number): EndpointRecord[] {
    const isLong = tokens >= MIN_LONG_PROMPT_TOKENS
    const lastArrivals = this.#recordArrival(pool, isLong)
    const nowMs = performance.now()
    const hasBoth = nowMs - lastArrivals.shortAtMs < SIZE_CLASS_IDLE_MS && nowMs - lastArrivals.longAtMs < SIZE_CLASS_IDLE_MS
    if (!hasBoth || records.length < 2) return records
    const ranked = records.map(record => ({ record, rank: this.#computeRank(record.entry.endpoint) })).sort((a, b) => a.rank < b.rank ? -1 : 1).map(entry => entry.record)
    const shortCount = Math.max(1, Math.ceil(ranked.length * SHORT_PROMPT_ENDPOINT_SHARE))
    if (isLong) return ranked.slice(shortCount)
    const shortRecords = ranked.slice(0, shortCount)
    return shortRecords.some(hasFreeSlot) ? shortRecords : records
  }

  #recordArrival (pool: string, isLong: boolean): LastArrivals {
    const lastArrivals = this.#lastArrivals.get(pool) ?? { shortAtMs: -Infinity, longAtMs: -Infinity }
    if (isLong) lastArrivals.longAtMs = performance.now()
    else lastArrivals.shortAtMs = performance.now()
    this.#lastArrivals.set(pool, lastArrivals)
    return lastArrivals
  }

  #computeRank (endpoint: string): string {
    const cached = this.#ranks.get(endpoint)
    if (cached !== undefined) return cached
    const rank = hashText('lane', endpoint)
    this.#ranks.set(endpoint, rank)
    return rank
  }
}

function hasFreeSlot ({ load, entry, inFlightCount }: EndpointRecord): boolean {
  if (load === null) return inFlightCount < entry.slots
  return load.waiting === 0 && load.running < load.slots
}
