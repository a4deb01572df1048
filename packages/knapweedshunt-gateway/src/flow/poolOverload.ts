import { OverloadGuard } from 'knapweedshunt-admission'
import type { EngineAdmission } from 'knapweedshunt-admission'
import type { PoolName } from 'knapweedshunt-types'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { ResponseHead } from '../ports/endpointPort.ts'
import { EnginePools } from './enginePools.ts'
import type { EnginePoolsDependencies } from './enginePools.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Time after which the caller of a request that no engine can hold may return, in milliseconds. */
const TOO_LARGE_RETRY_AFTER_MS = 5_000

const PERCENT = 100

/** Dependencies of {@link PoolOverload}. */
export interface PoolOverloadDependencies extends EnginePoolsDependencies {
  countVms (): number
}

/** Whether a request may be sent; `detail` says for a log line why not, and `retryAfterMs` is when its caller may find room. */
export type PoolAdmission = { type: 'admitted' } | { type: 'refused', retryAfterMs: number, detail: string }

/** Overload guards of all pools: those of plain services go by their places, those of engines by the requests that wait and what the engines begin. */
export class PoolOverload {
  readonly #dependencies: PoolOverloadDependencies
  readonly #guards = new Map<PoolName, OverloadGuard>()
  /** Guards of the pools of engines. */
  readonly enginePools: EnginePools

  constructor (dependencies: PoolOverloadDependencies) {
    this.#dependencies = dependencies
    this.enginePools = new EnginePools(dependencies)
  }

  /** Records what the head of a response to a request says: the load that its endpoint tells, if any, and for a stream the time to its first token, in milliseconds. */
  recordHead (plan: RequestPlan, record: EndpointRecord, { load, isNotRun }: ResponseHead, headMs: number): void {
    if (!isEngineStream(plan)) {
      if (load !== null) this.#getOrCreate(plan.pool).recordLoad(load)
      return
    }
    if (load !== null) this.enginePools.recordLoad(plan.pool, record, load)
    if (!isNotRun) this.enginePools.recordFirstToken(plan, headMs)
  }

  /** Records how long an endpoint took to answer a request, in milliseconds. */
  recordRun (pool: PoolName, runMs: number): void {
    this.#getOrCreate(pool).recordRun(runMs)
  }

  /** Whether requests of the route are being refused, or would be if more came. */
  isOverloaded ({ route, pool }: Pick<RequestPlan, 'route' | 'pool'>): boolean {
    return !route.usesPrefixes && !route.isStream && this.#getOrCreate(pool).isOverloaded(route.objectiveMs)
  }

  /** Decides whether a request may be sent for the first time. */
  decide (plan: RequestPlan): PoolAdmission {
    const { route, pool, call } = plan
    const memoryTokens = this.#dependencies.findPool(pool)?.memoryTokens ?? null
    const promptTokens = call.prompt?.tokens ?? 0
    if (memoryTokens !== null && promptTokens > memoryTokens) return { type: 'refused', retryAfterMs: TOO_LARGE_RETRY_AFTER_MS, detail: `the prompt has ${promptTokens} tokens, more than the ${memoryTokens} that an engine holds` }
    // A stream that its caller takes up again has begun: what was generated so far would be lost.
    if (isEngineStream(plan)) return call.lastEventId === null ? describeAdmission(this.enginePools.decide(plan), plan) : { type: 'admitted' }
    if (route.usesPrefixes || route.isStream) return { type: 'admitted' }
    const usable = this.#dependencies.listEndpoints(pool).filter(record => !record.isDraining && record.isReached && !record.health.isExcluded(0))
    const slots = usable.reduce((sum, { entry }) => sum + entry.slots, 0)
    const decision = this.#getOrCreate(pool).decide({ slots, vmCount: this.#dependencies.countVms(), objectiveMs: route.objectiveMs })
    return decision.type === 'admitted' ? decision : { type: 'refused', retryAfterMs: decision.retryAfterMs, detail: 'the pool gets more requests than its places run' }
  }

  #getOrCreate (pool: PoolName): OverloadGuard {
    const existing = this.#guards.get(pool)
    if (existing !== undefined) return existing
    const created = new OverloadGuard()
    this.#guards.set(pool, created)
    return created
  }
}

function isEngineStream ({ route }: Pick<RequestPlan, 'route'>): boolean {
  return route.usesPrefixes && route.isStream
}

function describeAdmission (admission: EngineAdmission, { priority, route, identity }: RequestPlan): PoolAdmission {
  if (admission.type === 'admitted') return { type: 'admitted' }
  const { retryAfterMs, limit, predictedWaitMs, demandShare, admittedShare } = admission
  const cause = limit === 'deadline' ? 'the engines would begin the request after its deadline' : 'the pool gets more requests than its engines run'
  return { type: 'refused', retryAfterMs, detail: `${cause}: predicted wait ${Math.round(predictedWaitMs)} ms, priority ${priority}, route's ${route.priority}, organisation ${identity?.organisation ?? 'none'} with ${formatPercent(demandShare)} of the demand, ${formatPercent(admittedShare)} of its own admitted` }
}

function formatPercent (share: number): string {
  return `${Math.round(share * PERCENT)} %`
}
