import type { EndpointName, PrefixLevel } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { Choice } from '../endpoints/endpointChooser.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Maximum wait for an endpoint that is full or loads weights, as a share of the objective. */
const MAX_WAIT_OBJECTIVE_SHARE = 0.5

/** Interval of the checks for a free endpoint, in milliseconds. */
const POLL_INTERVAL_MS = 15

/** Criteria for the choice of an endpoint. */
export interface EndpointSearch {
  /** Prefix levels by which the endpoint is chosen. */
  homeLevels: PrefixLevel[]
  triedEndpoints: EndpointName[]
  /** Whether the request was settled while it waited. */
  isCancelled (): boolean
}

/** Chooses an endpoint. If all are busy, it waits up to a share of the objective for one to become free; returns the last choice. */
export async function waitForEndpoint ({ chooser }: FlowDependencies, plan: RequestPlan, { homeLevels, triedEndpoints, isCancelled }: EndpointSearch): Promise<Choice> {
  const { pool, call, route, deadlineAtMs } = plan
  const prompt = route.usesPrefixes ? call.prompt : null
  const waitDeadlineAtMs = Math.min(deadlineAtMs, performance.now() + route.objectiveMs * MAX_WAIT_OBJECTIVE_SHARE)
  for (;;) {
    const choice = chooser.choose(pool, homeLevels, triedEndpoints, prompt)
    if (choice.type !== 'busy' || performance.now() >= waitDeadlineAtMs || isCancelled()) return choice
    await sleep(POLL_INTERVAL_MS)
  }
}
