import type { EndpointName } from 'knapweedshunt-types'
import type { Choice } from '../endpoints/endpointChooser.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { RequestPlan } from './requestPlan.ts'
import { waitForEndpoint } from './waitForEndpoint.ts'
import type { EndpointSearch } from './waitForEndpoint.ts'

/** Chooses an endpoint. For a stream that may be resumed, which must go on at one software version, only one whose row still holds. */
export async function waitForConfirmedEndpoint (dependencies: FlowDependencies, plan: RequestPlan, search: Omit<EndpointSearch, 'excludedEndpoints'>): Promise<Choice> {
  const excludedEndpoints: EndpointName[] = []
  for (;;) {
    const choice = await waitForEndpoint(dependencies, plan, { ...search, excludedEndpoints })
    if (choice.type !== 'chosen' || plan.route.repeatability !== REPEATABILITY.resumed || search.isCancelled()) return choice
    if (await dependencies.incarnationChecks.isConfirmed(choice.record)) return choice
    if (performance.now() >= plan.deadlineAtMs) return { type: 'busy' }
    excludedEndpoints.push(choice.record.entry.endpoint)
  }
}
