import type { PoolName } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { EndpointRecord } from './endpointRecord.ts'
import { PoolDivision, PROMPT_KIND } from './poolDivision.ts'
import type { PromptKind } from './poolDivision.ts'

/** Share of the pause objective that computing a prompt may take for it to count as short: it delays the tokens of all streams of its engine. */
const MAX_SHORT_PAUSE_SHARE = 0.1

/** Least time between two changes of a division that are told, in milliseconds. */
const MIN_TOLD_INTERVAL_MS = 1_000

/** Endpoints that a prompt may use: those for its kind, or all. */
export type PromptSide = PromptKind | 'all'

/** How a pool is divided between short and long prompts at present. */
export interface DivisionView {
  endpoints: number
  /** Endpoints for short prompts; null while all are for both kinds. */
  shortEndpoints: number | null
  /** Share of the engines' time that computing the prompts of all VMs takes, as this VM estimates it. */
  utilisation: number
  /** Prompt tokens from which a prompt is long. */
  minLongTokens: number
}

/** Dependencies of {@link PromptSizePartition}. */
export interface PromptSizePartitionDependencies {
  /** Finds the shortest pause objective of the routes that use a pool, in milliseconds. */
  findPauseObjectiveMs (pool: PoolName): number
  countVms (): number
  /** Called when the number of endpoints on a side has changed, at most once a second for a pool. */
  onDivided (pool: PoolName, view: DivisionView): void
}

/** Keeps streams of short prompts off engines that compute long ones, with shares that follow the demand and priority of each kind. */
export class PromptSizePartition {
  readonly #dependencies: PromptSizePartitionDependencies
  readonly #divisions = new Map<PoolName, PoolDivision>()
  readonly #views = new Map<PoolName, DivisionView>()
  /** What was told last of each pool, and when. */
  readonly #told = new Map<PoolName, { atMs: number, shortEndpoints: number | null }>()
  readonly #ranks = new Map<string, string>()

  constructor (dependencies: PromptSizePartitionDependencies) {
    this.#dependencies = dependencies
  }

  /** Selects the endpoints for a prompt of a size; VMs that see the same endpoints and the same mix select about the same ones. `serving` lists the endpoints that serve the pool, of which a retry may use a part only. */
  select (pool: PoolName, records: EndpointRecord[], tokens: number, serving: readonly EndpointRecord[] = records): EndpointRecord[] {
    if (records.length === 0) return records
    const nowMs = performance.now()
    const kind = this.#classify(pool, records[0], tokens)
    const division = this.#getOrCreate(pool)
    division.recordArrival(kind, nowMs)
    division.update(serving.reduce((sum, { capacityStep }) => sum + capacityStep.capacity, 0), this.#dependencies.countVms(), nowMs)
    const ranked = division.isDivided && records.length > 1 ? this.#rank(records) : null
    const shortCount = ranked === null ? null : division.countShort(ranked.map(({ capacityStep }) => capacityStep.capacity))
    if (records.length === serving.length) this.#updateView(pool, { endpoints: records.length, shortEndpoints: shortCount, utilisation: division.utilisation, minLongTokens: Math.round(this.#computeMinLongTokens(pool, records[0])) }, nowMs)
    if (ranked === null || shortCount === null) return records
    if (kind === PROMPT_KIND.long) return ranked.slice(shortCount)
    const shortRecords = ranked.slice(0, shortCount)
    return shortRecords.some(hasFreeSlot) || !division.maySpill(kind) ? shortRecords : records
  }

  /** Records that a prompt of a size was sent, of which the endpoint computes `tokensToRead`. */
  recordSent (record: EndpointRecord, tokens: number, tokensToRead: number, priority: number): void {
    const { pool } = record.entry
    this.#getOrCreate(pool).recordDemand(this.#classify(pool, record, tokens), priority, tokensToRead / record.poolSpeed.prefillTokensPerMs, performance.now())
  }

  /** How a pool was divided last; undefined if it never was. */
  findView (pool: PoolName): DivisionView | undefined {
    return this.#views.get(pool)
  }

  /** Side of the pool that a prompt of a size is for at present: `all` while the pool is not divided. */
  findSide (record: EndpointRecord, tokens: number): PromptSide {
    const { pool } = record.entry
    return (this.#views.get(pool)?.shortEndpoints ?? null) === null ? 'all' : this.#classify(pool, record, tokens)
  }

  #classify (pool: PoolName, record: EndpointRecord, tokens: number): PromptKind {
    return tokens < this.#computeMinLongTokens(pool, record) ? PROMPT_KIND.short : PROMPT_KIND.long
  }

  #computeMinLongTokens (pool: PoolName, { poolSpeed }: EndpointRecord): number {
    return this.#dependencies.findPauseObjectiveMs(pool) * MAX_SHORT_PAUSE_SHARE * poolSpeed.prefillTokensPerMs
  }

  #updateView (pool: PoolName, view: DivisionView, nowMs: number): void {
    this.#views.set(pool, view)
    const told = this.#told.get(pool)
    if (told !== undefined && (nowMs - told.atMs < MIN_TOLD_INTERVAL_MS || told.shortEndpoints === view.shortEndpoints)) return
    this.#told.set(pool, { atMs: nowMs, shortEndpoints: view.shortEndpoints })
    this.#dependencies.onDivided(pool, view)
  }

  #getOrCreate (pool: PoolName): PoolDivision {
    const division = this.#divisions.get(pool) ?? new PoolDivision()
    this.#divisions.set(pool, division)
    return division
  }

  #rank (records: EndpointRecord[]): EndpointRecord[] {
    return records.map(record => ({ record, rank: this.#computeRank(record.entry.endpoint) })).sort((a, b) => a.rank < b.rank ? -1 : 1).map(({ record }) => record)
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
