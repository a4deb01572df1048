import type { EndpointName, PoolName, PrefixLevel } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { Prompt } from '../ports/callerCall.ts'
import type { GatewayPool } from '../ports/gatewayConfig.ts'
import { countCandidates } from './candidateCounts.ts'
import type { CandidateCounts, CandidateState } from './candidateCounts.ts'
import type { EndpointPermits } from './endpointPermits.ts'
import type { EndpointRecord } from './endpointRecord.ts'
import type { EndpointRegistry } from './endpointRegistry.ts'
import type { EndpointScope } from './endpointScope.ts'
import { PromptSizePartition } from './promptSizePartition.ts'
import type { PromptSizePartitionDependencies } from './promptSizePartition.ts'

/** Fraction of an endpoint's connections that the known VMs use together; the rest is left to VMs that are not in the roster yet. */
const CONNECTION_SHARE = 0.85

/** Minimum fraction of endpoints with current weights at which only these are used; with fewer, the added queueing costs more than current weights are worth. */
const MIN_CURRENT_SHARE = 2 / 3

/** Why no endpoint can be chosen. */
export type UnplacedChoice =
  /** The pool has endpoints, but all are excluded, loading or full at present. */
  | { type: 'busy' }
  /** The weights of all candidates were replaced too long ago; `isLoading` if some of them load new ones. */
  | { type: 'replaced', isLoading: boolean }
  /** All endpoints that could accept the request asked this VM to back off, or state rate limits of which this VM has used its parts: `waitMs` is the time until it may send one a request, infinite if it may not, and `permitsPerS` the sum of the parts. */
  | { type: 'limited', waitMs: number, permitsPerS: number }
  /** The pool has no endpoint, or none of the software version. */
  | { type: 'none' }

/** What an endpoint is chosen for. */
export interface ChoiceCriteria {
  pool: PoolName
  levels: PrefixLevel[]
  /** Endpoints tried before, which are avoided. */
  triedEndpoints: EndpointName[]
  scope: EndpointScope
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

/** What the endpoints of a pool are counted for. */
export type CandidateCriteria = Pick<ChoiceCriteria, 'pool' | 'prompt' | 'triedEndpoints' | 'softwareVersion'>

/** Dependencies of {@link EndpointFilter}. */
export interface EndpointFilterDependencies extends PromptSizePartitionDependencies {
  endpointRegistry: EndpointRegistry
  findPool (pool: PoolName): GatewayPool | undefined
  countVms (): number
  endpointPermits: Pick<EndpointPermits, 'findLimit' | 'getOwnRatePerS' | 'getWaitMs'>
  /** Lists the endpoints that load weights or are about to. */
  listLoadingEndpoints (): Set<EndpointName>
  /** Target version of a model's weights; null when none is set. */
  findTargetVersion (model: string): number | null
  /** Oldest version of a model that still counts as current. */
  findMinCurrentVersion (model: string): number
  /** Oldest version of a model to which a request may still be sent, if its response begins after the delay given, in milliseconds. */
  findMinAllowedVersion (model: string, headDelayMs: number): number
}

/** Finds the endpoints that may be sent a request now. */
export class EndpointFilter {
  readonly #dependencies: EndpointFilterDependencies
  readonly promptSizePartition: PromptSizePartition

  constructor (dependencies: EndpointFilterDependencies) {
    this.#dependencies = dependencies
    this.promptSizePartition = new PromptSizePartition(dependencies)
  }

  /** Lists the endpoints of a pool among which placement chooses, or says why there are none. */
  filter ({ pool, triedEndpoints, scope, prompt, softwareVersion, acceptsVersion, excludedEndpoints = [], mustYieldLimits }: ChoiceCriteria): { type: 'usable', records: EndpointRecord[] } | UnplacedChoice {
    const isRetry = triedEndpoints.length > 0
    const records = this.#dependencies.endpointRegistry.list(pool)
    const allowed = excludedEndpoints.length === 0 ? records : records.filter(({ entry }) => !excludedEndpoints.includes(entry.endpoint))
    const suitable = softwareVersion === null ? allowed : allowed.filter(({ entry, isDraining }) => entry.softwareVersion === softwareVersion && !isDraining)
    const accepted = acceptsVersion === null ? suitable : filterByVersion(suitable, acceptsVersion)
    const candidates = listCandidates(accepted, triedEndpoints, scope)
    if (candidates.length === 0) return suitable.length === 0 ? { type: 'none' } : { type: 'busy' }
    const serving = this.#listServing(candidates, pool, prompt)
    const usable = serving.length === 0 ? [] : this.#listUsable(serving, pool, prompt, isRetry, mustYieldLimits)
    if (usable.length > 0) return { type: 'usable', records: usable }
    // An endpoint that refuses connections is no substitute for those that load or are full: they are waited for.
    const tried = isRetry && scope.type === 'untriedFirst' ? this.#listServing(listCandidates(accepted, [], scope), pool, prompt).filter(({ isReached }) => isReached) : []
    const permitted = tried.filter(record => this.#isPermitted(record, mustYieldLimits))
    if (permitted.length > 0) return { type: 'usable', records: permitted }
    return serving.length + tried.length === 0 ? this.#describeUnserving(candidates, prompt) : this.#describeLimited(serving.length > 0 ? serving : tried)
  }

  /** Whether the pool has an endpoint that was not tried, is not draining, may be sent a request now and has the software version, if one is given. */
  hasUntried (pool: PoolName, triedEndpoints: EndpointName[], softwareVersion: string | null): boolean {
    return this.#dependencies.endpointRegistry.list(pool).some(record => {
      const { entry } = record
      return !record.isDraining && !triedEndpoints.includes(entry.endpoint) && (softwareVersion === null || entry.softwareVersion === softwareVersion) && this.#isPermitted(record, false)
    })
  }

  /** Counts the pool's endpoints by what keeps them from being sent the request now. */
  countCandidates ({ pool, prompt, triedEndpoints, softwareVersion }: CandidateCriteria): CandidateCounts {
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

  #describeUnserving (candidates: EndpointRecord[], prompt: Prompt | null): UnplacedChoice {
    if (candidates.some(record => this.#isServing(record, prompt))) return { type: 'busy' }
    const loading = this.#dependencies.listLoadingEndpoints()
    return { type: 'replaced', isLoading: candidates.some(record => loading.has(record.entry.endpoint)) }
  }

  #describeLimited (records: EndpointRecord[]): UnplacedChoice {
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
    const selected = prompt === null ? unlimited : this.promptSizePartition.select(pool, unlimited, prompt.tokens, isRetry ? this.#listHealthy(pool) : unlimited)
    const usable = [...selected, ...preferred.filter(isLimited)].filter(record => this.#isPermitted(record, mustYieldLimits))
    return usable.length > 0 ? usable : serving.filter(record => this.#isPermitted(record, mustYieldLimits))
  }

  #listHealthy (pool: PoolName): EndpointRecord[] {
    return this.#dependencies.endpointRegistry.list(pool).filter(({ isDraining, isReached, health }) => !isDraining && isReached && !health.isExcluded(0))
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
    return version !== null && version >= this.#dependencies.findMinAllowedVersion(prompt.model, record.headDelays.estimateMs())
  }

  #computeConnectionLimit (pool: PoolName): number {
    const connections = this.#dependencies.findPool(pool)?.maxConnections ?? 1
    return Math.max(1, Math.floor(connections * CONNECTION_SHARE / this.#dependencies.countVms()))
  }
}

function filterByVersion (records: readonly EndpointRecord[], acceptsVersion: (softwareVersion: string) => boolean): EndpointRecord[] {
  const accepted = new Set([...new Set(records.map(({ entry }) => entry.softwareVersion))].filter(acceptsVersion))
  return records.filter(({ entry }) => accepted.has(entry.softwareVersion))
}

/** Lists the endpoints that may be chosen; never draining ones. */
function listCandidates (records: readonly EndpointRecord[], triedEndpoints: EndpointName[], scope: EndpointScope): EndpointRecord[] {
  const active = records.filter(record => !record.isDraining)
  const untried = active.filter(record => !triedEndpoints.includes(record.entry.endpoint))
  return match(scope)
    .with({ type: 'untriedFirst' }, () => untried.length > 0 ? untried : active)
    .with({ type: 'untried' }, () => untried)
    .with({ type: 'only' }, ({ endpoints }) => active.filter(record => endpoints.includes(record.entry.endpoint)))
    .exhaustive()
}
