import { EngineMemory, EngineOverloadGuard } from 'knapweedshunt-admission'
import type { EngineAdmission } from 'knapweedshunt-admission'
import type { EndpointName, PoolName } from 'knapweedshunt-types'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { ReportedLoad } from '../ports/endpointPort.ts'
import type { GatewayPool } from '../ports/gatewayConfig.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import { computeEngineShare } from './computeEngineShare.ts'
import { listMemoryParts } from './listMemoryParts.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Number of priorities that routes may have; the route's priority orders requests whose organisations are equal. */
const ROUTE_PRIORITIES = 10

/** Part of the demand that is admitted below which a pool counts as overloaded; hysteresis for the log lines. */
const OVERLOADED_SHARE = 0.9

/** Dependencies of {@link EnginePools}. */
export interface EnginePoolsDependencies {
  listEndpoints (pool: PoolName): readonly EndpointRecord[]
  findPool (pool: PoolName): GatewayPool | undefined
  decisionLog: Pick<DecisionLog, 'record'>
  /** Random number from 0 to 1. */
  draw (): number
}

/** What is known of a request that was admitted. */
interface AdmittedRequest {
  cost: number
  waitingCount: number
  isSent: boolean
}

/** Overload guards of the pools of engines; a request is in question before it is sent for the first time. */
export class EnginePools {
  readonly #dependencies: EnginePoolsDependencies
  readonly #guards = new Map<PoolName, EngineOverloadGuard>()
  readonly #memories = new Map<PoolName, EngineMemory>()
  readonly #overloaded = new Set<PoolName>()
  /** Requests that have not got their first token. */
  readonly #admitted = new WeakMap<RequestPlan, AdmittedRequest>()

  constructor (dependencies: EnginePoolsDependencies) {
    this.#dependencies = dependencies
  }

  /** Smallest part of its demand that a pool admits. */
  get minAdmittedShare (): number {
    return Math.min(1, ...[...this.#guards.values()].map(guard => guard.admittedShare))
  }

  /** Longest wait that is predicted for a pool, in milliseconds. */
  get maxPredictedWaitMs (): number {
    return Math.max(0, ...[...this.#guards.values()].map(guard => guard.predictedWaitMs))
  }

  /** Decides on a request. */
  decide (plan: RequestPlan): EngineAdmission {
    const { route, pool, priority, identity, deadlineAtMs } = plan
    const cost = computeEngineShare(plan.call, this.#dependencies.listEndpoints(pool).find(({ entry }) => entry.slots > 0)?.entry.slots ?? 1, this.#dependencies.findPool(pool)?.memoryTokens ?? null)
    const guard = this.#getOrCreate(pool)
    const admission = guard.decide({ priority: priority * ROUTE_PRIORITIES + Math.min(route.priority, ROUTE_PRIORITIES - 1), organisation: identity?.organisation ?? '', cost, objectiveMs: route.objectiveMs, timeLeftMs: deadlineAtMs - performance.now() })
    if (admission.type === 'admitted') this.#admitted.set(plan, { cost, waitingCount: admission.waitingCount, isSent: false })
    this.#recordChange(pool, guard)
    return admission
  }

  /** Lists the endpoints of a request's pool that lack the memory for it; none if all do. */
  listFull (plan: RequestPlan): EndpointName[] {
    const memoryTokens = this.#dependencies.findPool(plan.pool)?.memoryTokens ?? null
    if (memoryTokens === null) return []
    const parts = listMemoryParts(plan)
    const records = this.#dependencies.listEndpoints(plan.pool)
    const full = records.filter(record => !this.#getMemory(plan.pool).hasRoom(record, parts, memoryTokens))
    return full.length === records.length ? [] : full.map(({ entry }) => entry.endpoint)
  }

  /** Records that an attempt of a request is sent to an endpoint. */
  recordStart (plan: RequestPlan, record: EndpointRecord, attemptId: string): void {
    this.#getMemory(plan.pool).recordStart(record, attemptId, listMemoryParts(plan))
    const admitted = this.#admitted.get(plan)
    if (admitted === undefined || admitted.isSent) return
    admitted.isSent = true
    this.#getOrCreate(plan.pool).recordSent()
  }

  /** Records the end of an attempt. */
  recordEnd (plan: RequestPlan, record: EndpointRecord, attemptId: string): void {
    this.#getMemory(plan.pool).recordEnd(record, attemptId)
    const admitted = this.#admitted.get(plan)
    if (admitted?.isSent !== true) return
    // Another endpoint may begin the request.
    admitted.isSent = false
    this.#getOrCreate(plan.pool).recordLost()
  }

  /** Records the load that an endpoint told in a response. */
  recordLoad (pool: PoolName, record: EndpointRecord, load: ReportedLoad): void {
    this.#getOrCreate(pool).recordLoad(load)
    this.#getMemory(pool).recordLoad(record, load.running + load.waiting)
  }

  /** Records that the response to a request has begun, so many milliseconds after it was sent. */
  recordFirstToken (plan: RequestPlan, firstTokenMs: number): void {
    const admitted = this.#admitted.get(plan)
    if (admitted?.isSent !== true) return
    this.#admitted.delete(plan)
    this.#getOrCreate(plan.pool).recordFirstToken(firstTokenMs, admitted.cost, admitted.waitingCount)
  }

  #recordChange (pool: PoolName, guard: EngineOverloadGuard): void {
    const wasOverloaded = this.#overloaded.has(pool)
    if (wasOverloaded ? guard.admittedShare < 1 : guard.admittedShare >= OVERLOADED_SHARE) return
    if (wasOverloaded) this.#overloaded.delete(pool)
    else this.#overloaded.add(pool)
    this.#dependencies.decisionLog.record({ type: 'poolOverload', pool, isOverloaded: !wasOverloaded, predictedWaitMs: Math.round(guard.predictedWaitMs), admittedShare: Number(guard.admittedShare.toFixed(2)) })
  }

  #getMemory (pool: PoolName): EngineMemory {
    const existing = this.#memories.get(pool)
    if (existing !== undefined) return existing
    const created = new EngineMemory()
    this.#memories.set(pool, created)
    return created
  }

  #getOrCreate (pool: PoolName): EngineOverloadGuard {
    const existing = this.#guards.get(pool)
    if (existing !== undefined) return existing
    const created = new EngineOverloadGuard(this.#dependencies.draw())
    this.#guards.set(pool, created)
    return created
  }
}
