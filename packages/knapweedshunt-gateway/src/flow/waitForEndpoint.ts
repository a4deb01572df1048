import type { EndpointName, PrefixLevel } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { Choice } from '../endpoints/endpointChooser.ts'
import type { ChoiceCriteria } from '../endpoints/endpointFilter.ts'
import type { EndpointScope } from '../endpoints/endpointScope.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { PermitWaiter } from './permitQueue.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Interval of the checks for a free endpoint, in milliseconds. */
const POLL_INTERVAL_MS = 15

const MS_PER_SECOND = 1_000

/** Criteria for the choice of an endpoint. */
export interface EndpointSearch {
  /** Prefix levels by which the endpoint is chosen. */
  homeLevels: PrefixLevel[]
  triedEndpoints: EndpointName[]
  scope: EndpointScope
  /** Software version that the endpoint must have; null for any. */
  softwareVersion: string | null
  /** Whether a stream that has not begun may begin at a software version; null if that does not matter. */
  acceptsVersion: ((softwareVersion: string) => boolean) | null
  /** Endpoints that are not used, also when no other is left. */
  excludedEndpoints: readonly EndpointName[]
  /** Maximum wait if all endpoints are full, load weights or are limited, in milliseconds. */
  maxWaitMs: number
  /** Whether the request was settled while it waited. */
  isCancelled (): boolean
}

/** Chooses an endpoint. If all are busy or limited, it waits, but not if that is known to be too short; returns the last choice. */
export async function waitForEndpoint ({ chooser, endpointLimits, permitQueue, poolOverload, yieldPlace }: FlowDependencies, plan: RequestPlan, { homeLevels, triedEndpoints, scope, softwareVersion, acceptsVersion, excludedEndpoints, maxWaitMs, isCancelled }: EndpointSearch): Promise<Choice> {
  const { pool, call, route, deadlineAtMs } = plan
  const prompt = route.usesPrefixes ? call.prompt : null
  const waitDeadlineAtMs = Math.min(deadlineAtMs, performance.now() + maxWaitMs)
  const waiter: PermitWaiter = { pool, priority: plan.priority }
  endpointLimits.recordDemand(pool)
  try {
    for (;;) {
      const aheadCount = permitQueue.countAhead(waiter)
      const criteria: ChoiceCriteria = { pool, levels: homeLevels, triedEndpoints, scope, prompt, softwareVersion, acceptsVersion, excludedEndpoints, mustYieldLimits: aheadCount > 0 }
      const full = prompt === null ? [] : poolOverload.enginePools.listFull(plan)
      const roomy = full.length === 0 ? null : chooser.choose({ ...criteria, excludedEndpoints: [...excludedEndpoints, ...full] })
      const choice = roomy?.type === 'chosen' ? roomy : chooser.choose(criteria)
      // Weights take longer to load than this wait.
      if (choice.type === 'chosen' || choice.type === 'none' || choice.type === 'replaced' || performance.now() >= waitDeadlineAtMs || isCancelled()) return choice
      if (choice.type === 'busy') yieldPlace(pool)
      if (choice.type === 'limited') {
        const waitMs = choice.waitMs + aheadCount / choice.permitsPerS * MS_PER_SECOND
        if (performance.now() + waitMs > waitDeadlineAtMs) return { ...choice, waitMs }
        if (!permitQueue.has(waiter)) permitQueue.add(waiter)
      }
      await sleep(POLL_INTERVAL_MS)
    }
  } finally {
    permitQueue.remove(waiter)
  }
}
