import { hashSalt, Placement } from 'knapweedshunt-placement'
import type { EndpointForecast, ObjectiveWeights, PlacedDecision } from 'knapweedshunt-placement'
import type { DataCentreId, EndpointName, PoolName, PrefixLevel, Resource, RouterSnapshot } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { ReportedLoad } from '../ports/endpointPort.ts'
import type { GatewayPool } from '../ports/gatewayConfig.ts'
import type { CallerIdentity, Prompt } from '../ports/callerCall.ts'
import type { EndpointPermits } from './endpointPermits.ts'
import type { EndpointRecord } from './endpointRecord.ts'
import type { CandidateCounts } from './candidateCounts.ts'
import { EndpointFilter } from './endpointFilter.ts'
import type { CandidateCriteria, ChoiceCriteria, EndpointFilterDependencies, UnplacedChoice } from './endpointFilter.ts'
import { ASSUMED_PREFILL_TOKENS_PER_MS } from './prefillFit.ts'
import { PrefixLocations } from './prefixLocations.ts'
import type { PromptSizePartition } from './promptSizePartition.ts'

/** Prefill rate of an endpoint of weight 1. */
const PREFILL_TOKENS_PER_S = ASSUMED_PREFILL_TOKENS_PER_MS * 1_000

/**
 * The engines compute tens of thousands of prompt tokens per second, so queueing is short and computing a shared prefix
 * twice costs more than waiting for the endpoint that has it cached. Endpoint subsets therefore grow late, and a cached
 * prefix has a high weight.
 */
const OBJECTIVE: ObjectiveWeights = { maxKeyShare: 0.4, waitWeight: 1, sharedPrefixWeight: 1.5, spillFactor: 2, spillFloorMs: 150, remoteWaitThresholdMs: 1_000 }

/** Fraction of an endpoint's running requests whose prompts count as not computed yet; a long prompt spends most of its time there before the first token. */
const RUNNING_PREFILL_SHARE = 0.5

/** The same at endpoints that state their run time: their running requests have computed most of their prompts, of which the shared parts are mostly fetched. */
const STATED_RUNNING_PREFILL_SHARE = 0.2

/** Interval between two estimates of the demand at other VMs, in milliseconds. */
const DEMAND_INTERVAL_MS = 1_000

/** Result of choosing an endpoint. */
export type Choice = { type: 'chosen', record: EndpointRecord, decision: PlacedDecision } | UnplacedChoice

/** An endpoint for the next attempt. */
export type ChosenEndpoint = Extract<Choice, { type: 'chosen' }>

/** Dependencies of {@link EndpointChooser}. */
export interface EndpointChooserDependencies extends EndpointFilterDependencies {
  dataCentre: DataCentreId
  nearDataCentres: DataCentreId[]
  seed: number
  listPools (): GatewayPool[]
  endpointPermits: Pick<EndpointPermits, 'findLimit' | 'getOwnRatePerS' | 'getWaitMs' | 'tryTake'>
}

/** Chooses an endpoint for each attempt: placement by prefix among the endpoints that are not excluded, full or loading. */
export class EndpointChooser {
  readonly #dependencies: EndpointChooserDependencies
  readonly #placement: Placement
  readonly #prefixLocations = new PrefixLocations(record => this.#isUsableSource(record))
  readonly #filter: EndpointFilter
  #revision = 0
  /** Whether the placement module lacks a change of the pools or endpoints. */
  #needsRebuild = false
  #demandAtMs = performance.now()
  #demandSequence = 0
  #reportSequence = 0

  constructor (dependencies: EndpointChooserDependencies) {
    this.#dependencies = dependencies
    this.#filter = new EndpointFilter(dependencies)
    const { dataCentre, nearDataCentres, seed } = dependencies
    this.#placement = new Placement(dataCentre, { seed, nearDataCentres, prefillTokensPerS: PREFILL_TOKENS_PER_S, forecasts: { find: (endpoint, nowMs) => this.#findForecast(endpoint, nowMs) }, objectives: { tail: OBJECTIVE, reuseShort: OBJECTIVE, reuseLong: OBJECTIVE } })
  }

  /** Placement module; receives the start and finish of each attempt. */
  get placement (): Placement {
    this.#ensureBuilt()
    return this.#placement
  }

  /** Handles a change of the pools or endpoints. Changes come by the hundred, so that placement learns of them when it is needed next. */
  rebuild (): void {
    this.#needsRebuild = true
  }

  /** Passes all pools and endpoints to the placement module if either has changed. */
  #ensureBuilt (): void {
    if (!this.#needsRebuild) return
    this.#needsRebuild = false
    const { endpointRegistry } = this.#dependencies
    const resources: Resource[] = this.#dependencies.listPools().map(pool => this.#buildPool(pool.pool, pool.models))
    for (const record of endpointRegistry.list()) resources.push(buildEndpoint(record))
    const endpoints = endpointRegistry.list().map(record => this.#buildView(record))
    this.#placement.handleEvent({ type: 'snapshot', snapshot: { resources: { revision: ++this.#revision, resources }, vms: [], endpoints } })
  }

  /** Builds the prefix levels of a prompt; an isolated organisation gets its own keys. */
  buildPrefixLevels (prompt: Prompt | null, identity: CallerIdentity | null): PrefixLevel[] {
    if (prompt === null) return []
    let key = hashText(getIsolationScope(identity), prompt.model)
    let tokens = 0
    return prompt.parts.map(part => {
      key = hashText(key, part.id)
      tokens += part.tokens
      return { key, tokens }
    })
  }

  /**
   * Returns the level by which an endpoint is chosen. The last part belongs to one request or session, so the level before
   * it is the longest shared prefix: it maps to one home among all endpoints, which spreads the load. The KV cache of
   * outer levels is transferred there from endpoints that computed it.
   */
  findHomeLevels (levels: PrefixLevel[]): PrefixLevel[] {
    return levels.length > 1 ? levels.slice(-2, -1) : levels
  }

  /** Salt under which an endpoint caches a request's parts; equal only for the same isolation scope, model and weights version. */
  computeCacheSalt (prompt: Prompt, identity: CallerIdentity | null, record: EndpointRecord): string {
    const weightsVersion = String(record.findVersion(prompt.model) ?? '')
    return hashSalt({ organisation: getIsolationScope(identity), model: prompt.model, adapter: '', weightsVersion }).slice(0, 32)
  }

  /** Chooses an endpoint of the pool, preferring those not tried yet, and counts the request towards its rate limit. */
  choose (criteria: ChoiceCriteria): Choice {
    const { pool, levels } = criteria
    const { endpointRegistry, endpointPermits } = this.#dependencies
    this.#ensureBuilt()
    this.#updatePeerDemand()
    const filtered = this.#filter.filter(criteria)
    if (filtered.type !== 'usable') return filtered
    const names = new Set(filtered.records.map(record => record.entry.endpoint))
    const unavailable = endpointRegistry.list(pool).filter(record => !names.has(record.entry.endpoint)).map(record => record.entry.endpoint)
    const decision = this.#placement.place({ pool, levels, excluded: [], unavailable })
    if (decision.type !== 'placed') return { type: 'busy' }
    const record = endpointRegistry.find(decision.endpoint)
    return record === undefined || !endpointPermits.tryTake(record) ? { type: 'busy' } : { type: 'chosen', record, decision }
  }

  /** Whether the pool has an endpoint that was not tried, is not draining, may be sent a request now and has the software version, if one is given. */
  hasUntriedEndpoint (pool: PoolName, triedEndpoints: EndpointName[], softwareVersion: string | null): boolean {
    return this.#filter.hasUntried(pool, triedEndpoints, softwareVersion)
  }

  /** Counts the pool's endpoints by what keeps them from being sent the request now. */
  countCandidates (criteria: CandidateCriteria): CandidateCounts {
    return this.#filter.countCandidates(criteria)
  }

  /** Division of the pools between short and long prompts. */
  get promptSizePartition (): PromptSizePartition {
    return this.#filter.promptSizePartition
  }

  /** Endpoints that recently computed each prefix. */
  get prefixLocations (): PrefixLocations {
    return this.#prefixLocations
  }

  /** Records the load reported in a response and passes it to the placement module. */
  recordLoad (record: EndpointRecord, load: ReportedLoad): void {
    record.recordLoad(load)
    if (record.speed.isStated && record.capacityStep.update(record.speed.capacity)) this.rebuild()
    if (record.speed.isStated) record.poolSpeed.recordWait(countQueuedTokens(record, load) * record.speed.estimateTokenTime(record.loadAtMs), record.loadAtMs)
    this.placement.handleEvent({ type: 'snapshot', snapshot: { resources: { revision: this.#revision, resources: [] }, vms: [], endpoints: [this.#buildView(record)] } })
  }

  /** What is expected of an endpoint of a pool whose endpoints state their run times. */
  #findForecast (endpoint: EndpointName, nowMs: number): EndpointForecast | null {
    const record = this.#dependencies.endpointRegistry.find(endpoint)
    if (record === undefined || !record.poolSpeed.isStated) return null
    return { runTime: record.speed.estimateTokenTime(nowMs), meanWaitTokens: record.poolSpeed.meanWaitTokens, minWaitTokens: record.estimateOverdueMs(nowMs) * ASSUMED_PREFILL_TOKENS_PER_MS }
  }

  #isUsableSource (record: EndpointRecord): boolean {
    const { entry, health, isReached, keptUntilMs } = record
    if (this.#dependencies.endpointRegistry.find(entry.endpoint) !== record || keptUntilMs !== null || record.isDraining) return false
    return isReached && !health.isExcluded(0) && this.#dependencies.endpointPermits.getWaitMs(record) === 0 && !this.#dependencies.listLoadingEndpoints().has(entry.endpoint)
  }

  /** Estimates the demand at other VMs from this VM's own: callers choose VMs at random, so all see about the same prefixes. */
  #updatePeerDemand (): void {
    const nowMs = performance.now()
    if (nowMs - this.#demandAtMs < DEMAND_INTERVAL_MS) return
    this.#demandAtMs = nowMs
    const otherVmCount = this.#dependencies.countVms() - 1
    const demands = this.#placement.listHotKeys().map(({ key, tokensPerS }) => ({ key, tokensPerS: tokensPerS * otherVmCount }))
    this.#placement.handleEvent({ type: 'peerDemand', vm: 'others', incarnation: '', dataCentre: this.#dependencies.dataCentre, n: ++this.#demandSequence, demands })
  }

  #buildPool (pool: PoolName, models: string[]): Resource {
    if (models.length === 0) return { kind: 'EndpointPool', name: pool, revision: 0, spec: { type: 'service', floor: 0 } }
    const targetVersion = this.#dependencies.findTargetVersion(models[0])
    const weightsVersion = String(targetVersion ?? this.#findNewest(pool, models[0]))
    return { kind: 'EndpointPool', name: pool, revision: 0, spec: { type: 'model', model: models[0], weightsVersion, objective: 'tail', floor: 0, maxParallelLoads: 1 } }
  }

  #findNewest (pool: PoolName, model: string): number {
    return this.#dependencies.endpointRegistry.list(pool).reduce((newest, record) => Math.max(newest, record.findVersion(model) ?? 0), 0)
  }

  #buildView (record: EndpointRecord): RouterSnapshot['endpoints'][number] {
    const { entry, load, loadAtMs } = record
    const model = entry.models[0]
    const weightsVersion = model === undefined ? null : String(model.version)
    const report = load === null
      ? null
      : { endpoint: entry.endpoint, incarnation: entry.incarnation, weightsVersion, running: load.running, queued: load.waiting, queuedTokens: countQueuedTokens(record, load), atMs: ++this.#reportSequence }
    return { endpoint: entry.endpoint, incarnation: entry.incarnation, state: 'live', weightsVersion, load: report, loadAgeMs: report === null ? 0 : performance.now() - loadAtMs }
  }
}

/** Work ahead of a new request, in prompt tokens at the usual speed. At a plain service that is the wait for a slot, converted. */
function countQueuedTokens (record: EndpointRecord, { running, waiting, slots }: ReportedLoad): number {
  const { isPlainService, meanPromptTokens, poolSpeed, speed } = record
  if (isPlainService && speed.isStated) return waiting * poolSpeed.runMs / Math.max(1, slots) * poolSpeed.prefillTokensPerMs
  return (waiting + running * (speed.isStated ? STATED_RUNNING_PREFILL_SHARE : RUNNING_PREFILL_SHARE)) * meanPromptTokens
}

function getIsolationScope (identity: CallerIdentity | null): string {
  return identity?.isIsolated ? identity.organisation : ''
}

function buildEndpoint ({ entry, isDraining, capacityStep }: EndpointRecord): Resource {
  return {
    kind: 'Endpoint',
    name: entry.endpoint,
    revision: 0,
    spec: { pool: entry.pool, url: `http://${entry.address}`, dataCentre: entry.dataCentre, weight: capacityStep.capacity, cacheBlocks: 0, checksFencing: false, checksIdempotencyKeys: false, draining: isDraining }
  }
}
