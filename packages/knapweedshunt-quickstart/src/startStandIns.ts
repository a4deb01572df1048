import { startFakeEngine, startFakeService } from 'knapweedshunt-fakes'
import { parseResource } from 'knapweedshunt-resources'
import type { EndpointPoolSpec, EndpointSpec, Resource } from 'knapweedshunt-types'

/** Time to compute one prompt token: 8,000 tokens/s, as the router reckons by default. */
const PREFILL_MS_PER_TOKEN = 0.125

/** A stand-in that runs for one declared endpoint. */
export interface StandIn {
  url: string
  stop (): Promise<void>
}

/** Stand-ins and the resources that name their addresses. */
export interface StandIns {
  resources: Resource[]
  running: StandIn[]
}

/** Starts a stand-in for every declared endpoint and puts its address into the resource. */
export async function startStandIns (declared: unknown[]): Promise<StandIns> {
  const checked = declared.map(parseResource)
  const pools = new Map(checked.flatMap(resource => resource.kind === 'EndpointPool' ? [[resource.name, resource.spec] as const] : []))
  const running: StandIn[] = []
  const resources: Resource[] = []
  for (const resource of checked) {
    if (resource.kind !== 'Endpoint') {
      resources.push(resource)
      continue
    }
    const standIn = await startStandIn(resource.name, resource.spec, pools.get(resource.spec.pool))
    running.push(standIn)
    resources.push({ ...resource, spec: { ...resource.spec, url: standIn.url } })
  }
  return { resources, running }
}

function startStandIn (endpoint: string, spec: EndpointSpec, pool: EndpointPoolSpec | undefined): Promise<StandIn> {
  if (pool?.type !== 'model') return startFakeService({ endpoint, checksIdempotencyKeys: spec.checksIdempotencyKeys })
  return startFakeEngine({ endpoint, cacheBlocks: spec.cacheBlocks, weightsVersion: pool.weightsVersion, checksFencing: spec.checksFencing, prefillMsPerToken: PREFILL_MS_PER_TOKEN })
}
