import type { EndpointName, PrefixLevel } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { Choice } from '../endpoints/endpointChooser.ts'
import type { FlowParts } from './flowParts.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Longest wait for an endpoint that is full or loads weights, as a share of the objective. */
const FREE_WAIT_SHARE = 0.5

/** Time between two looks for a free endpoint, in milliseconds. */
const FREE_LOOK_MS = 15

/** What a request looks for. */
export interface EndpointSearch {
  homeLevels: PrefixLevel[]
  tried: EndpointName[]
  /** Whether nobody waits for the endpoint any more. */
  isOver (): boolean
}

/** Chooses an endpoint, waiting for one to become free for a share of the objective; returns the last choice. */
export async function waitEndpoint ({ chooser }: FlowParts, plan: RequestPlan, { homeLevels, tried, isOver }: EndpointSearch): Promise<Choice> {
  const { pool, call, route, deadlineAtMs } = plan
  const prompt = route.usesPrefixes ? call.prompt : null
  const untilMs = Math.min(deadlineAtMs, performance.now() + route.objectiveMs * FREE_WAIT_SHARE)
  for (;;) {
    const choice = chooser.choose(pool, homeLevels, tried, prompt)
    if (choice.type !== 'busy' || performance.now() >= untilMs || isOver()) return choice
    await sleep(FREE_LOOK_MS)
  }
}
