import { hashSalt, Placement } from 'knapweedshunt-placement'
import type { ObjectiveWeights, PlacedDecision } from 'knapweedshunt-placement'
import type { DataCentreId, EndpointName, PoolName, PrefixLevel, Resource, RouterSnapshot } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { ReportedLoad } from '../ports/endpointPort.ts'
import type { GatewayPool } from '../ports/gatewayConfig.ts'
import type { CallerIdentity, Prompt } from '../ports/callerCall.ts'
import type { EndpointPermits } from './endpointPermits.ts'
import type { EndpointRegistry } from './endpointRegistry.ts'
import type { EndpointRecord } from './endpointRecord.ts'
import { countCandidates } from './candidateCounts.ts'
import type { CandidateCounts, CandidateState } from './candidateCounts.ts'
import { PromptSizePartition } from './promptSizePartition.ts'
import { PrefixLocations } from './prefixLocations.ts'

/** Fraction of an endpoint's connections that the known VMs use together; the rest is left to VMs that are not in the roster yet. */
const CONNECTION_SHARE = 0.85

/** Assumed prefill rate of an endpoint; the engines in the users' data sheets compute 44,000 to 51,000 prompt tokens per second. */
const PREFILL_TOKENS_PER_S = 45_000

/**
 * The engines compute tens of thousands of prompt tokens per second, so queueing is short and computing a shared prefix
 * twice costs more than waiting for the endpoint that has it cached. Endpoint subsets therefore grow late, and a cached
 * prefix has a high weight.
 */
const OBJECTIVE: ObjectiveWeights = { maxKeyShare: 0.4, waitWeight: 1, sharedPrefixWeight: 1.5, spillFactor: 2, spillFloorMs: 150, remoteWaitThresholdMs: 1_000 }

/** Minimum fraction of endpoints with current weights at which only these are used; with fewer, the added queueing costs more than current weights are worth. */
const MIN_CURRENT_SHARE = 2 / 3

/** Fraction of an endpoint's running requests whose prompts count as not computed yet; a long prompt spends most of its time there before the first token. */
const RUNNING_PREFILL_SHARE = 0.5

/** Interval between two estimates of the demand at other VMs, in milliseconds. */
const DEMAND_INTERVAL_MS = 1_000

/** Result of choosing an endpoint. */
export type Choice =
  | { type: 'chosen', record: EndpointRecord, decision: PlacedDecision }
  /** The pool has endpoints, but all are excluded, loading or full at present. */
  | { type: 'busy' }
  /** All endpoints that could accept the request asked this VM to back off, or state rate limits of which this VM has used its parts: `waitMs` is the time until it may send one a request, infinite if it may not, and `permitsPerS` the sum of the parts. */
  | { type: 'limited', waitMs: number, permitsPerS: number }
  | { type: 'none' }

/** What an endpoint is chosen for. */
export interface ChoiceCriteria {
  pool: PoolName
  levels: PrefixLevel[]
  /** Endpoints tried before, which are avoided. */
  triedEndpoints: EndpointName[]
  /** Whether endpoints tried before are used again when no other is left. */
  mayRepeat: boolean
  prompt: Prompt | null
  /** Software version that the endpoint must have, as it began the stream; null for any. */
  softwareVersion: string | null
  /** Whether a stream that has not begun may begin at a software version; null if that does not matter. */
  acceptsVersion: ((softwareVersion: string) => boolean) | null
  /** Endpoints that are not used, also when no other is left. */
  excludedEndpoints?: readonly EndpointName[]
  /** Whether limited endpoints are left to other requests. */
  mustYieldLimits: boolean
}

/** An endpoint for the next attempt. */
export type ChosenEndpoint = Extract<Choice, { type: 'chosen' }>

/** Dependencies of {@link EndpointChooser}. */
export interface EndpointChooserDependencies {
  dataCentre: DataCentreId
  nearDataCentres: DataCentreId[]
  seed: number
  endpointRegistry: EndpointRegistry
  listPools (): GatewayPool[]
  findPool (pool: PoolName): GatewayPool | undefined
  countVms (): number
  endpointPermits: Pick<EndpointPermits, 'findLimit' | 'getOwnRatePerS' | 'getWaitMs' | 'tryTake'>
  /** Lists the endpoints that load weights or are about to. */
  listLoadingEndpoints (): Set<EndpointName>
  /** Target version of a model's weights; null when none is set. */
  findTargetVersion (model: string): number | null
  /** Oldest version of a model that still counts as current. */
  findMinCurrentVersion (model: string): number
  /** Oldest version of a model on which a request may still start. */
  findMinAllowedVersion (model: string): number
}

/** Chooses an endpoint for each attempt: placement by prefix among the endpoints that are not excluded, full or loading. */
export class EndpointChooser {
  readonly #dependencies: EndpointChooserDependencies
  readonly #placement: Placement
  readonly #prefixLocations = new PrefixLocations(record => this.#isUsableSource(record))
  readonly #promptSizePartition = new PromptSizePartition()
  #revision = 0
  #demandAtMs = performance.now()
  #demandSequence = 0
  #reportSequence = 0

  constructor (dependencies: EndpointChooserDependencies) {
    this.#dependencies = dependencies
    const { dataCentre, nearDataCentres, seed } = dependencies
    this.#placement = new Placement(dataCentre, { seed, nearDataCentres, prefillTokensPerS: PREFILL_TOKENS_PER_S, objectives: { tail: OBJECTIVE, reuseShort: OBJECTIVE, reuseLong: OBJECTIVE } })
  }

  /** Placement module; receives the start and finish of each attempt. */
  get placement (): Placement {
    return this.#placement
  }

  /** Passes all pools and endpoints to the placement module after a change to either. */
  rebuild (): void {
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
  choose ({ pool, levels, triedEndpoints, mayRepeat, prompt, softwareVersion, acceptsVersion, excludedEndpoints = [], mustYieldLimits }: ChoiceCriteria): Choice {
    const isRetry = triedEndpoints.length > 0
    const records = this.#dependencies.endpointRegistry.list(pool)
    const allowed = excludedEndpoints.length === 0 ? records : records.filter(({ entry }) => !excludedEndpoints.includes(entry.endpoint))
    const suitable = softwareVersion === null ? allowed : allowed.filter(({ entry, isDraining }) => entry.softwareVersion === softwareVersion && !isDraining)
    const accepted = acceptsVersion === null ? suitable : filterByVersion(suitable, acceptsVersion)
    const candidates = this.#listCandidates(accepted, triedEndpoints, mayRepeat)
    if (candidates.length === 0) return suitable.length === 0 ? { type: 'none' } : { type: 'busy' }
    this.#updatePeerDemand()
    const serving = this.#listServing(candidates, pool, prompt)
    if (serving.length === 0) return { type: 'busy' }
    const usable = this.#listUsable(serving, pool, prompt, isRetry, mustYieldLimits)
    if (usable.length === 0 && isRetry && mayRepeat) usable.push(...this.#listServing(this.#listCandidates(accepted, [], mayRepeat), pool, prompt).filter(record => this.#isPermitted(record, mustYieldLimits)))
    if (usable.length === 0) return this.#describeLimited(serving)
    const names = new Set(usable.map(record => record.entry.endpoint))
    const unavailable = records.filter(record => !names.has(record.entry.endpoint)).map(record => record.entry.endpoint)
    const decision = this.#placement.place({ pool, levels, excluded: [], unavailable })
    if (decision.type !== 'placed') return { type: 'busy' }
    const record = this.#dependencies.endpointRegistry.find(decision.endpoint)
    return record === undefined || !this.#dependencies.endpointPermits.tryTake(record) ? { type: 'busy' } : { type: 'chosen', record, decision }
  }

  /** Endpoints that recently computed each prefix. */
  get prefixLocations (): PrefixLocations {
    return this.#prefixLocations
  }

  /** Whether the pool has an endpoint that was not tried, is not draining, may be sent a request now and has the software version, if one is given. */
  hasUntriedEndpoint (pool: PoolName, triedEndpoints: EndpointName[], softwareVersion: string | null): boolean {
    return this.#dependencies.endpointRegistry.list(pool).some(record => {
      const { entry } = record
      return !record.isDraining && !triedEndpoints.includes(entry.endpoint) && (softwareVersion === null || entry.softwareVersion === softwareVersion) && this.#isPermitted(record, false)
    })
  }

  /** Records the load reported in a response and passes it to the placement module. */
  recordLoad (record: EndpointRecord, load: ReportedLoad): void {
    record.recordLoad(load)
    this.#placement.handleEvent({ type: 'snapshot', snapshot: { resources: { revision: this.#revision, resources: [] }, vms: [], endpoints: [this.#buildView(record)] } })
  }

  /** Counts the pool's endpoints by what keeps them from being sent the request now. */
  countCandidates ({ pool, prompt, triedEndpoints, softwareVersion }: Pick<ChoiceCriteria, 'pool' | 'prompt' | 'triedEndpoints' | 'softwareVersion'>): CandidateCounts {
    const loading = this.#dependencies.listLoadingEndpoints()
    const connectionLimit = this.#computeConnectionLimit(pool)
    return countCandidates(this.#dependencies.endpointRegistry.list(pool).map((record): CandidateState => {
      const { entry, isDraining, inFlightCount, isReached } = record
      if (softwareVersion !== null && entry.softwareVersion !== softwareVersion) return 'otherVersion'
      if (isDraining) return 'draining'
      if (triedEndpoints.includes(entry.endpoint)) return 'tried'
      if (loading.has(entry.endpoint)) return 'loading'
      if (!this.#isServing(record, prompt)) return 'replacedWeights'
      if (inFlightCount >= connectionLimit) return 'full'
      if (!isReached || record.health.isExcluded(0)) return 'unreached'
      return this.#isPermitted(record, false) ? 'free' : 'limited'
    }))
  }

  /** Lists the endpoints that are not full or loading. */
  #listServing (candidates: EndpointRecord[], pool: PoolName, prompt: Prompt | null): EndpointRecord[] {
    const loading = this.#dependencies.listLoadingEndpoints()
    const connectionLimit = this.#computeConnectionLimit(pool)
    return candidates.filter(record => record.inFlightCount < connectionLimit && !loading.has(record.entry.endpoint) && this.#isServing(record, prompt))
  }

  #isPermitted (record: EndpointRecord, mustYieldLimits: boolean): boolean {
    const { endpointPermits } = this.#dependencies
    return endpointPermits.getWaitMs(record) === 0 && (!mustYieldLimits || endpointPermits.findLimit(record) === null)
  }

  #describeLimited (records: EndpointRecord[]): Choice {
    const { endpointPermits } = this.#dependencies
    return { type: 'limited', waitMs: Math.min(...records.map(record => endpointPermits.getWaitMs(record))), permitsPerS: records.reduce((sum, record) => sum + endpointPermits.getOwnRatePerS(record), 0) }
  }

  /** Lists the healthy endpoints, or all when none is healthy, that may be sent a request now. */
  #listUsable (serving: EndpointRecord[], pool: PoolName, prompt: Prompt | null, isRetry: boolean, mustYieldLimits: boolean): EndpointRecord[] {
    const meanFailedShare = serving.reduce((sum, record) => sum + record.health.computeFailedShare(), 0) / serving.length
    const healthy = serving.filter(record => record.isReached && !record.health.isExcluded(meanFailedShare))
    const preferred = this.#preferCurrent(healthy, prompt, isRetry)
    const isLimited = (record: EndpointRecord) => this.#dependencies.endpointPermits.findLimit(record) !== null
    // Limited endpoints come and go with each request; the partition by prompt size must not change with them.
    const unlimited = preferred.filter(record => !isLimited(record))
    const selected = prompt === null ? unlimited : this.#promptSizePartition.select(pool, unlimited, prompt.tokens)
    const usable = [...selected, ...preferred.filter(isLimited)].filter(record => this.#isPermitted(record, mustYieldLimits))
    return usable.length > 0 ? usable : serving.filter(record => this.#isPermitted(record, mustYieldLimits))
  }

  /** Avoids replaced weights once enough endpoints have current ones; a retry goes to the newest weights, where it need not move again. */
  #preferCurrent (records: EndpointRecord[], prompt: Prompt | null, isRetry: boolean): EndpointRecord[] {
    if (prompt === null) return records
    const minVersion = isRetry ? this.#dependencies.findTargetVersion(prompt.model) ?? 0 : this.#dependencies.findMinCurrentVersion(prompt.model)
    const upToDate = records.filter(record => (record.findVersion(prompt.model) ?? 0) >= minVersion)
    const hasEnough = isRetry ? upToDate.length > 0 : upToDate.length >= records.length * MIN_CURRENT_SHARE
    return hasEnough ? upToDate : records
  }

  /** Whether an endpoint serves the prompt's model with weights that are not too old. */
  #isServing (record: EndpointRecord, prompt: Prompt | null): boolean {
    if (prompt === null || record.entry.models.length === 0) return true
    const version = record.findVersion(prompt.model)
    return version !== null && version >= this.#dependencies.findMinAllowedVersion(prompt.model)
  }

  /** Lists the endpoints not tried yet, or all when each was tried and may be again; never draining ones. */
  #listCandidates (records: EndpointRecord[], triedEndpoints: EndpointName[], mayRepeat: boolean): EndpointRecord[] {
    const active = records.filter(record => !record.isDraining)
    const untried = active.filter(record => !triedEndpoints.includes(record.entry.endpoint))
    return untried.length > 0 || !mayRepeat ? untried : active
  }

  #isUsableSource (record: EndpointRecord): boolean {
    const { entry, health, isReached, keptUntilMs } = record
    if (this.#dependencies.endpointRegistry.find(entry.endpoint) !== record || keptUntilMs !== null || record.isDraining) return false
    return isReached && !health.isExcluded(0) && this.#dependencies.endpointPermits.getWaitMs(record) === 0 && !this.#dependencies.listLoadingEndpoints().has(entry.endpoint)
  }

  #computeConnectionLimit (pool: PoolName): number {
    const connections = this.#dependencies.findPool(pool)?.maxConnections ?? 1
    return Math.max(1, Math.floor(connections * CONNECTION_SHARE / this.#dependencies.countVms()))
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
      : { endpoint: entry.endpoint, incarnation: entry.incarnation, weightsVersion, running: load.running, queued: load.waiting, queuedTokens: (load.waiting + load.running * RUNNING_PREFILL_SHARE) * record.meanPromptTokens, atMs: ++this.#reportSequence }
    return { endpoint: entry.endpoint, incarnation: entry.incarnation, state: 'live', weightsVersion, load: report, loadAgeMs: report === null ? 0 : performance.now() - loadAtMs }
  }
}

function filterByVersion (records: EndpointRecord[], acceptsVersion: (softwareVersion: string) => boolean): EndpointRecord[] {
  const accepted = new Set([...new Set(records.map(({ entry }) => entry.softwareVersion))].filter(acceptsVersion))
  return records.filter(({ entry }) => accepted.has(entry.softwareVersion))
}

function getIsolationScope (identity: CallerIdentity | null): string {
  return identity?.isIsolated ? identity.organisation : ''
}

function buildEndpoint ({ entry, isDraining }: EndpointRecord): Resource {
  return {
    kind: 'Endpoint',
    name: entry.endpoint,
    revision: 0,
    spec: { pool: entry.pool, url: `http://${entry.address}`, dataCentre: entry.dataCentre, weight: 1, cacheBlocks: 0, checksFencing: false, checksIdempotencyKeys: false, draining: isDraining }
  }
}
