import { hashSalt, Placement } from 'knapweedshunt-placement'
import type { ObjectiveWeights, PlacedDecision } from 'knapweedshunt-placement'
import type { DataCentreId, EndpointName, PoolName, PrefixLevel, Resource, RouterSnapshot } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { ToldLoad } from '../ports/endpointPort.ts'
import type { GatewayPool } from '../ports/gatewayConfig.ts'
import type { CallerIdentity, Prompt } from '../ports/callerCall.ts'
import type { EndpointBook } from './endpointBook.ts'
import type { EndpointRecord } from './endpointRecord.ts'
import { PromptLanes } from './promptLanes.ts'
import { PrefixHolders } from './prefixHolders.ts'

/** Share of an endpoint's connections that all VMs together use; the rest is left to VMs that are not in the table yet. */
const CONNECTION_SHARE = 0.85

/** Prompt tokens that an endpoint is taken to compute in a second; engines of the users' sheets compute 44 to 51 thousand. */
const PREFILL_TOKENS_PER_S = 45_000

/**
 * Engines here compute tens of thousands of prompt tokens a second, so waits are short and a shared part read twice costs
 * its users more than the wait beside the endpoint that holds it: subsets grow late, and a prefix pulls strongly.
 */
const OBJECTIVE: ObjectiveWeights = { maxKeyShare: 0.4, waitWeight: 1, sharedPrefixWeight: 1.5, spillFactor: 2, spillFloorMs: 150, remoteWaitThresholdMs: 1_000 }

/** Share of the endpoints from which on those with current weights carry the load of all; what waits at fewer comes later than the weights are worth. */
const CURRENT_SHARE = 2 / 3

/** Share of the requests that an endpoint runs whose prompt counts as still to be computed: most of a long prompt's time there goes by before its first token. */
const RUNNING_SHARE = 0.5

/** Time between two estimates of what other VMs are asked for, in milliseconds. */
const DEMAND_MS = 1_000

/** Where a request goes. */
export type Choice =
  | { type: 'chosen', record: EndpointRecord, decision: PlacedDecision }
  /** Endpoints are there, but all are left out or full for now. */
  | { type: 'busy' }
  | { type: 'none' }

/** What the chooser asks of its surroundings. */
export interface ChooserParts {
  dataCentre: DataCentreId
  nearDataCentres: DataCentreId[]
  seed: number
  book: EndpointBook
  listPools (): GatewayPool[]
  findPool (pool: PoolName): GatewayPool | undefined
  countVms (): number
  /** Endpoints that load weights, or are about to. */
  listLoading (): Set<EndpointName>
  /** Version wished for a model; null when none was named. */
  findWished (model: string): number | null
  /** Oldest version of a model whose answers are worth as much as those of the newest. */
  findCurrent (model: string): number
  /** Oldest version of a model on which a request may still begin. */
  findOldest (model: string): number
}

/** Chooses an endpoint for each attempt: placement by prefix, less those that are out, full or loading. */
export class EndpointChooser {
  readonly #parts: ChooserParts
  readonly #placement: Placement
  readonly #holders = new PrefixHolders(record => this.#isSource(record))
  readonly #lanes = new PromptLanes()
  #revision = 0
  #demandAtMs = performance.now()
  #demandNumber = 0
  #reports = 0

  constructor (parts: ChooserParts) {
    this.#parts = parts
    const { dataCentre, nearDataCentres, seed } = parts
    this.#placement = new Placement(dataCentre, { seed, nearDataCentres, prefillTokensPerS: PREFILL_TOKENS_PER_S, objectives: { tail: OBJECTIVE, reuseShort: OBJECTIVE, reuseLong: OBJECTIVE } })
  }

  /** Placement that hears of attempts. */
  get placement (): Placement {
    return this.#placement
  }

  /** Arranges pools and endpoints anew after a change of either. */
  rebuild (): void {
    const { book } = this.#parts
    const resources: Resource[] = this.#parts.listPools().map(pool => this.#buildPool(pool.pool, pool.models))
    for (const { entry } of book.list()) resources.push(buildEndpoint(entry.endpoint, entry))
    const endpoints = book.list().map(record => this.#buildView(record))
    this.#placement.handleEvent({ type: 'snapshot', snapshot: { resources: { revision: ++this.#revision, resources }, vms: [], endpoints } })
  }

  /** Cuts a prompt's parts to levels; organisations that share nothing get keys of their own. */
  cutLevels (prompt: Prompt | null, identity: CallerIdentity | null): PrefixLevel[] {
    if (prompt === null) return []
    let key = hashText(nameWall(identity), prompt.model)
    let tokens = 0
    return prompt.parts.map(part => {
      key = hashText(key, part.id)
      tokens += part.tokens
      return { key, tokens }
    })
  }

  /**
   * The level by which an endpoint is chosen. The last part belongs to one request or session, so the level before it is
   * the longest that others share: it has one home among all endpoints, which spreads the load. Outer levels are brought
   * there from wherever they were read.
   */
  findHomeLevels (levels: PrefixLevel[]): PrefixLevel[] {
    return levels.length > 1 ? levels.slice(-2, -1) : levels
  }

  /** Salt under which an endpoint keeps a request's parts: equal for one wall, model and weights version only. */
  nameSalt (prompt: Prompt, identity: CallerIdentity | null, record: EndpointRecord): string {
    const weightsVersion = String(record.findVersion(prompt.model) ?? '')
    return hashSalt({ organisation: nameWall(identity), model: prompt.model, adapter: '', weightsVersion }).slice(0, 32)
  }

  /** Chooses an endpoint of the pool outside those tried. */
  choose (pool: PoolName, levels: PrefixLevel[], tried: EndpointName[], prompt: Prompt | null): Choice {
    const isMoving = tried.length > 0
    const records = this.#parts.book.list(pool)
    const candidates = this.#listCandidates(records, tried)
    if (candidates.length === 0) return records.length === 0 ? { type: 'none' } : { type: 'busy' }
    this.#shareDemand()
    const usable = this.#listUsable(candidates, pool, prompt, isMoving)
    if (usable.length === 0) return { type: 'busy' }
    const names = new Set(usable.map(record => record.entry.endpoint))
    const unavailable = records.filter(record => !names.has(record.entry.endpoint)).map(record => record.entry.endpoint)
    const decision = this.#placement.place({ pool, levels, excluded: [], unavailable })
    if (decision.type !== 'placed') return { type: 'busy' }
    const record = this.#parts.book.find(decision.endpoint)
    return record === undefined ? { type: 'busy' } : { type: 'chosen', record, decision }
  }

  /** Endpoints that read a prefix lately. */
  get holders (): PrefixHolders {
    return this.#holders
  }

  /** Whether the pool has an endpoint that was not tried. */
  hasOther (pool: PoolName, tried: EndpointName[]): boolean {
    return this.#parts.book.list(pool).some(record => !record.entry.isDraining && !tried.includes(record.entry.endpoint))
  }

  /** Tells the placement what an answer said of its endpoint's load. */
  noteLoad (record: EndpointRecord, load: ToldLoad): void {
    record.noteLoad(load)
    this.#placement.handleEvent({ type: 'snapshot', snapshot: { resources: { revision: this.#revision, resources: [] }, vms: [], endpoints: [this.#buildView(record)] } })
  }

  /** Best set that is not empty: all well, then also those that failed, never those that are full or loading. */
  #listUsable (candidates: EndpointRecord[], pool: PoolName, prompt: Prompt | null, isMoving: boolean): EndpointRecord[] {
    const loading = this.#parts.listLoading()
    const share = this.#countShare(pool)
    const open = candidates.filter(record => record.open < share && !loading.has(record.entry.endpoint) && this.#isRunning(record, prompt))
    const meanShare = open.reduce((sum, record) => sum + record.health.readFailedShare(), 0) / Math.max(1, open.length)
    const well = open.filter(record => !record.health.isOut(meanShare))
    if (well.length === 0) return open
    const current = this.#preferCurrent(well, prompt, isMoving)
    return prompt === null ? current : this.#lanes.select(pool, current, prompt.tokens)
  }

  /** Weights that were replaced a while ago are left once enough endpoints have newer ones; a request that moves goes where it need not move again. */
  #preferCurrent (records: EndpointRecord[], prompt: Prompt | null, isMoving: boolean): EndpointRecord[] {
    if (prompt === null) return records
    const least = isMoving ? this.#parts.findWished(prompt.model) ?? 0 : this.#parts.findCurrent(prompt.model)
    const newest = records.filter(record => (record.findVersion(prompt.model) ?? 0) >= least)
    const isEnough = isMoving ? newest.length > 0 : newest.length >= records.length * CURRENT_SHARE
    return isEnough ? newest : records
  }

  /** Runs the prompt's model, with weights that are not too old. */
  #isRunning (record: EndpointRecord, prompt: Prompt | null): boolean {
    if (prompt === null || record.entry.models.length === 0) return true
    const version = record.findVersion(prompt.model)
    return version !== null && version >= this.#parts.findOldest(prompt.model)
  }

  /** Endpoints not tried; all when each was. */
  #listCandidates (records: EndpointRecord[], tried: EndpointName[]): EndpointRecord[] {
    const present = records.filter(record => !record.entry.isDraining)
    const untried = present.filter(record => !tried.includes(record.entry.endpoint))
    return untried.length > 0 ? untried : present
  }

  #isSource (record: EndpointRecord): boolean {
    const { entry, health, missingSinceMs } = record
    if (this.#parts.book.find(entry.endpoint) !== record || missingSinceMs !== null || entry.isDraining) return false
    return !health.isOut(0) && !this.#parts.listLoading().has(entry.endpoint)
  }

  #countShare (pool: PoolName): number {
    const connections = this.#parts.findPool(pool)?.maxConnections ?? 1
    return Math.max(1, Math.floor(connections * CONNECTION_SHARE / this.#parts.countVms()))
  }

  /** Callers are spread over VMs by chance, so each of them is asked for about the same prefixes. */
  #shareDemand (): void {
    const nowMs = performance.now()
    if (nowMs - this.#demandAtMs < DEMAND_MS) return
    this.#demandAtMs = nowMs
    const others = this.#parts.countVms() - 1
    const demands = this.#placement.listHotKeys().map(({ key, tokensPerS }) => ({ key, tokensPerS: tokensPerS * others }))
    this.#placement.handleEvent({ type: 'peerDemand', vm: 'others', incarnation: '', dataCentre: this.#parts.dataCentre, n: ++this.#demandNumber, demands })
  }

  #buildPool (pool: PoolName, models: string[]): Resource {
    if (models.length === 0) return { kind: 'EndpointPool', name: pool, revision: 0, spec: { type: 'service', floor: 0 } }
    const wished = this.#parts.findWished(models[0])
    const weightsVersion = String(wished ?? this.#findNewest(pool, models[0]))
    return { kind: 'EndpointPool', name: pool, revision: 0, spec: { type: 'model', model: models[0], weightsVersion, objective: 'tail', floor: 0, maxParallelLoads: 1 } }
  }

  #findNewest (pool: PoolName, model: string): number {
    return this.#parts.book.list(pool).reduce((newest, record) => Math.max(newest, record.findVersion(model) ?? 0), 0)
  }

  #buildView (record: EndpointRecord): RouterSnapshot['endpoints'][number] {
    const { entry, load, loadAtMs } = record
    const model = entry.models[0]
    const weightsVersion = model === undefined ? null : String(model.version)
    const report = load === null
      ? null
      : { endpoint: entry.endpoint, incarnation: entry.incarnation, weightsVersion, running: load.running, queued: load.waiting, queuedTokens: (load.waiting + load.running * RUNNING_SHARE) * record.meanTokens, atMs: ++this.#reports }
    return { endpoint: entry.endpoint, incarnation: entry.incarnation, state: 'live', weightsVersion, load: report, loadAgeMs: report === null ? 0 : performance.now() - loadAtMs }
  }
}

function nameWall (identity: CallerIdentity | null): string {
  return identity?.isIsolated ? identity.organisation : ''
}

function buildEndpoint (name: EndpointName, entry: EndpointRecord['entry']): Resource {
  return {
    kind: 'Endpoint',
    name,
    revision: 0,
    spec: { pool: entry.pool, url: `http://${entry.address}`, dataCentre: entry.dataCentre, weight: 1, cacheBlocks: 0, checksFencing: false, checksIdempotencyKeys: false, draining: entry.isDraining }
  }
}
