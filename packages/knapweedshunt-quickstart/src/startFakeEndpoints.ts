import { startFakeEngine, startFakeService } from 'knapweedshunt-fakes'
import { parseResource } from 'knapweedshunt-resources'
import type { EndpointPoolSpec, EndpointSpec, Resource } from 'knapweedshunt-types'

/** Prefill time per prompt token: 8,000 tokens/s, the rate that the router assumes by default. */
const PREFILL_MS_PER_TOKEN = 0.125

/** A running fake engine or service that answers for one declared endpoint. */
export interface FakeEndpoint {
  url: string
  stop (): Promise<void>
}

/** Running fake endpoints, and the declared resources with the URLs of these fakes. */
export interface StartedFakeEndpoints {
  resources: Resource[]
  endpoints: FakeEndpoint[]
}

/** Starts a fake for every declared endpoint and sets its URL in the endpoint's resource; throws if a resource is invalid. */
export async function startFakeEndpoints (declared: unknown[]): Promise<StartedFakeEndpoints> {
  const parsed = declared.map(parseResource)
  const pools = new Map(parsed.flatMap(resource => resource.kind === 'EndpointPool' ? [[resource.name, resource.spec] as const] : []))
  const endpoints: FakeEndpoint[] = []
  const resources: Resource[] = []
  for (const resource of parsed) {
    if (resource.kind !== 'Endpoint') {
      resources.push(resource)
      continue
    }
    const fakeEndpoint = await startFakeEndpoint(resource.name, resource.spec, pools.get(resource.spec.pool))
    endpoints.push(fakeEndpoint)
    resources.push({ ...resource, spec: { ...resource.spec, url: fakeEndpoint.url } })
  }
  return { resources, endpoints }
}

function startFakeEndpoint (endpoint: string, spec: EndpointSpec, pool: EndpointPoolSpec | undefined): Promise<FakeEndpoint> {
  if (pool?.type !== 'model') return startFakeService({ endpoint, checksIdempotencyKeys: spec.checksIdempotencyKeys })
  return startFakeEngine({ endpoint, cacheBlocks: spec.cacheBlocks, weightsVersion: pool.weightsVersion, checksFencing: spec.checksFencing, prefillMsPerToken: PREFILL_MS_PER_TOKEN })
}
