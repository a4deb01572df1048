import type { Incarnation, PoolName, VmId } from 'knapweedshunt-types'
import type { EndpointLimitReport, LimitStatement } from './endpointLimitReport.ts'
import type { VmDemand } from './peerDemands.ts'
import { RateTracker } from './rateTracker.ts'
import { computeFraction, splitEndpointLimit } from './splitEndpointLimit.ts'
import { TokenBucket } from './tokenBucket.ts'

/** Lowest rate at which a limited endpoint is used, in requests per second: only its responses can end the limit. */
const MIN_REQUESTS_PER_S = 0.1

/** Time constant of the demand by which limits are split, in milliseconds. */
const DEMAND_DECAY_MS = 3_000

/** Time after which a demand is reported again, in milliseconds. */
const REFRESH_INTERVAL_MS = 5_000

/** Time between two reports of demand, in milliseconds; statements are reported at once. */
const MIN_REPORT_INTERVAL_MS = 1_000

/** Time for which a report counts after it was received, in milliseconds; over two refreshes. */
const REPORT_TIMEOUT_MS = 12_000

/** Relative and absolute change of a demand, in requests per second, from which on it is reported. */
const MIN_DEMAND_CHANGE_SHARE = 0.25
const MIN_DEMAND_CHANGE_PER_S = 0.3

/** Time for which the limit of an endpoint that is gone, and the statement that a limit has ended, are kept, in milliseconds. The row of the endpoint may come back. */
const ENDED_RETENTION_MS = 60_000

/** Options of the bucket of one endpoint's limit: a VM whose share begins must not send at once, since others have just sent what it may. */
const BUCKET_OPTIONS = { capacityMs: 250, isFullAtStart: false }

interface KnownLimit {
  pool: PoolName
  requestsPerS: number
  /** Start of the newest attempt whose response stated the limit; a response to an earlier attempt cannot end it. */
  statedForAttemptAtMs: number
  bucket: TokenBucket
  /** Results of `computeFraction`, by VM. */
  fractions: Map<VmId, number>
  /** This VM's part, in requests per second; 0 if it may send nothing. */
  ownRatePerS: number
  endedAtMs: number | null
}

interface OwnStatement {
  statement: LimitStatement
  atMs: number
}

interface ReceivedReport {
  incarnation: Incarnation
  demands: EndpointLimitReport['demands']
  receivedAtMs: number
  lastNumber: number
}

/** A limit that began, changed or ended; null for no limit. */
export interface LimitChange {
  endpoint: Incarnation
  requestsPerS: number | null
  previousPerS: number | null
}

/**
 * Rate limits that endpoints state in their responses for all VMs together. A limit holds from the response of whichever
 * VM reads it first until a response to a later attempt states none. Each VM uses its part, split by the demands that
 * the VMs report; the reports that were read last stay in force while no others can be read.
 */
export class EndpointRateLimits {
  readonly #vm: VmId
  readonly #incarnation: Incarnation
  readonly #limits = new Map<Incarnation, KnownLimit>()
  readonly #demands = new Map<PoolName, RateTracker>()
  readonly #reports = new Map<VmId, ReceivedReport>()
  #vms: VmId[] = []
  readonly #ownStatements = new Map<Incarnation, OwnStatement>()
  #lastNumber = 0
  #hasNewStatement = false
  #reportedDemands: EndpointLimitReport['demands'] = {}
  #reportedAtMs = -Infinity
  #lastReadAtMs = -Infinity

  constructor (vm: VmId, incarnation: Incarnation) {
    this.#vm = vm
    this.#incarnation = incarnation
  }

  /** Number of endpoints that state a limit. */
  get count (): number {
    return this.#limits.size
  }

  /** Limit of an endpoint, in requests per second for all VMs together; null for none. */
  findLimit (endpoint: Incarnation): number | null {
    return this.#limits.get(endpoint)?.requestsPerS ?? null
  }

  /** Whether this VM may send the endpoint a request now. */
  canSend (endpoint: Incarnation): boolean {
    return this.getWaitMs(endpoint) === 0
  }

  /** Time until this VM may send the endpoint a request, in milliseconds; infinite if it has no part of the limit. */
  getWaitMs (endpoint: Incarnation): number {
    const limit = this.#limits.get(endpoint)
    if (limit === undefined) return 0
    limit.bucket.refill(limit.ownRatePerS, performance.now())
    return limit.bucket.getWaitMs(limit.ownRatePerS)
  }

  /** This VM's part of the endpoint's limit, in requests per second; infinite without a limit. */
  getOwnRatePerS (endpoint: Incarnation): number {
    return this.#limits.get(endpoint)?.ownRatePerS ?? Infinity
  }

  /** Counts a request that is about to be sent; false if this VM may not send the endpoint one. */
  tryTake (endpoint: Incarnation): boolean {
    const limit = this.#limits.get(endpoint)
    return limit === undefined || limit.bucket.tryTake(limit.ownRatePerS, performance.now())
  }

  /** Counts a request of a caller for the pool. */
  recordDemand (pool: PoolName): void {
    const nowMs = performance.now()
    const tracker = this.#demands.get(pool) ?? new RateTracker(nowMs, DEMAND_DECAY_MS)
    this.#demands.set(pool, tracker)
    tracker.record(nowMs)
  }

  /** Records the limit, or its absence, in the response to an attempt of this VM. Returns the change; null if nothing changed. */
  recordStated (endpoint: Incarnation, pool: PoolName, requestsPerS: number | null, attemptStartedAtMs: number): LimitChange | null {
    const known = this.#limits.get(endpoint)
    if (requestsPerS === null && (known === undefined || attemptStartedAtMs <= known.statedForAttemptAtMs)) return null
    const change = this.#setLimit(endpoint, pool, requestsPerS, attemptStartedAtMs)
    if (change === null) return null
    this.#ownStatements.set(endpoint, { statement: { endpoint, pool, requestsPerS, n: ++this.#lastNumber }, atMs: performance.now() })
    this.#hasNewStatement = true
    return change
  }

  /** Keeps the limit of an endpoint whose incarnation ended, or whose row is gone, for a while. */
  handleEndpointEnded (endpoint: Incarnation): void {
    const limit = this.#limits.get(endpoint)
    if (limit !== undefined) limit.endedAtMs = performance.now()
  }

  /** Replaces the VMs that may send requests; none while they are not known, so that limited endpoints are left to others. */
  setVms (vms: VmId[]): void {
    if (vms.length === this.#vms.length && vms.every(vm => this.#vms.includes(vm))) return
    this.#vms = vms
    this.#splitLimits()
  }

  /** Applies the report of a VM; this VM's own takes effect as the others read it. Returns the limits that changed by it. */
  applyReport (vm: VmId, incarnation: Incarnation, { demands, statements }: EndpointLimitReport): LimitChange[] {
    const previous = this.#reports.get(vm)
    const lastNumber = previous?.incarnation === incarnation ? previous.lastNumber : -1
    const isOwn = incarnation === this.#incarnation
    const isEarlierOwn = vm === this.#vm && !isOwn
    const newNumber = Math.max(lastNumber, ...statements.map(({ n }) => n))
    this.#reports.set(vm, { incarnation, demands: isEarlierOwn ? {} : demands, receivedAtMs: isEarlierOwn ? -Infinity : performance.now(), lastNumber: newNumber })
    const changes = isOwn ? [] : statements.filter(({ n }) => n > lastNumber).flatMap(statement => this.#applyStatement(statement) ?? [])
    this.#splitLimits()
    return changes
  }

  /** Updates what depends on time. `lastReadAtMs` is when reports could last be read: while none can be, those known do not expire. */
  update (lastReadAtMs: number): void {
    this.#lastReadAtMs = lastReadAtMs
    const nowMs = performance.now()
    for (const [endpoint, { endedAtMs }] of this.#limits) if (endedAtMs !== null && nowMs - endedAtMs >= ENDED_RETENTION_MS) this.#limits.delete(endpoint)
    for (const [endpoint, { atMs }] of this.#ownStatements) if (!this.#limits.has(endpoint) && nowMs - atMs >= ENDED_RETENTION_MS) this.#ownStatements.delete(endpoint)
    this.#splitLimits()
  }

  /** Whether the other VMs lack a statement, or a demand that has changed or grows old. */
  needsReport (): boolean {
    if (this.#hasNewStatement) return true
    const nowMs = performance.now()
    if (this.#limits.size === 0 || nowMs - this.#reportedAtMs < MIN_REPORT_INTERVAL_MS) return false
    if (nowMs - this.#reportedAtMs >= REFRESH_INTERVAL_MS) return true
    return Object.entries(this.#listDemands()).some(([pool, demand]) => {
      const reported = this.#reportedDemands[pool]
      return reported === undefined || Math.abs(demand - reported) > Math.max(MIN_DEMAND_CHANGE_PER_S, MIN_DEMAND_CHANGE_SHARE * Math.max(demand, reported))
    })
  }

  /** Builds this VM's report, which is then taken for told. */
  buildReport (): EndpointLimitReport {
    this.#hasNewStatement = false
    this.#reportedDemands = this.#listDemands()
    this.#reportedAtMs = performance.now()
    return { demands: this.#reportedDemands, statements: [...this.#ownStatements.values()].map(({ statement }) => statement) }
  }

  #listDemands (): EndpointLimitReport['demands'] {
    const nowMs = performance.now()
    const pools = new Set([...this.#limits.values()].map(({ pool }) => pool))
    return Object.fromEntries([...pools].map(pool => [pool, Math.round((this.#demands.get(pool)?.getRatePerS(nowMs) ?? 0) * 100) / 100]))
  }

  #applyStatement ({ endpoint, pool, requestsPerS }: LimitStatement): LimitChange | null {
    const change = this.#setLimit(endpoint, pool, requestsPerS, performance.now())
    // A statement that another VM has replaced must not reach a VM that starts later.
    if (change !== null && this.#ownStatements.delete(endpoint)) this.#hasNewStatement = true
    return change
  }

  #setLimit (endpoint: Incarnation, pool: PoolName, requestsPerS: number | null, statedForAttemptAtMs: number): LimitChange | null {
    const known = this.#limits.get(endpoint)
    const previousPerS = known?.requestsPerS ?? null
    if (known !== undefined && requestsPerS !== null) {
      known.statedForAttemptAtMs = Math.max(known.statedForAttemptAtMs, statedForAttemptAtMs)
      known.endedAtMs = null
    }
    if (previousPerS === requestsPerS) return null
    if (requestsPerS === null) this.#limits.delete(endpoint)
    else if (known === undefined) this.#limits.set(endpoint, { pool, requestsPerS, statedForAttemptAtMs, bucket: new TokenBucket(0, performance.now(), BUCKET_OPTIONS), fractions: new Map(), ownRatePerS: 0, endedAtMs: null })
    else known.requestsPerS = requestsPerS
    this.#splitLimits()
    return { endpoint, requestsPerS, previousPerS }
  }

  #splitLimits (): void {
    for (const [endpoint, limit] of this.#limits) {
      // What was earned so far was earned at the rate until now.
      limit.bucket.refill(limit.ownRatePerS, performance.now())
      limit.ownRatePerS = this.#computeOwnRate(endpoint, limit)
    }
  }

  #computeOwnRate (endpoint: Incarnation, { pool, requestsPerS, fractions }: KnownLimit): number {
    if (!this.#vms.includes(this.#vm)) return 0
    const oldestMs = this.#lastReadAtMs - REPORT_TIMEOUT_MS
    const reporting = [...this.#reports].flatMap(([vm, { demands, receivedAtMs }]): VmDemand[] => !Object.hasOwn(demands, pool) || receivedAtMs < oldestMs ? [] : [{ vm, demand: demands[pool] }])
    const getFraction = (vm: VmId): number => {
      const fraction = fractions.get(vm) ?? computeFraction(endpoint, vm)
      fractions.set(vm, fraction)
      return fraction
    }
    const allocations = splitEndpointLimit({ requestsPerS: Math.max(requestsPerS, MIN_REQUESTS_PER_S), vms: this.#vms, reporting, getFraction })
    return allocations.find(({ vm }) => vm === this.#vm)?.amount ?? 0
  }
}
