import type { EndpointRole, EndpointView, Liveness, PrefixLevel, Resource, RouterSnapshot } from 'knapweedshunt-types'
import { buildPrefixLevels } from '../buildPrefixLevels.ts'
import type { Placement } from '../placement.ts'
import type { PlacedDecision, PlaceRequest } from '../placementTypes.ts'

export const POOL = 'language'

/** Actual state of a simulated endpoint, from which snapshots are built. */
export interface SimulatedEndpoint {
  name: string
  dataCentre: string
  incarnation: string
  weightsVersion: string
  state: Liveness
  queuedTokens: number
  role?: EndpointRole
  adapter?: string
}

export function createEndpoints (count: number, dataCentre = 'a'): SimulatedEndpoint[] {
  return Array.from({ length: count }, (_, i) => ({ name: `${dataCentre}${i}`, dataCentre, incarnation: `${dataCentre}${i}-1`, weightsVersion: 'w1', state: 'live' as const, queuedTokens: 0 }))
}

export function buildSnapshot (endpoints: SimulatedEndpoint[], atMs: number, revision = 1, weightsVersion = 'w1', views = endpoints): RouterSnapshot {
  const resources: Resource[] = [
    { kind: 'EndpointPool', name: POOL, revision, spec: { type: 'model', model: 'm', weightsVersion, objective: 'tail', floor: 1, maxParallelLoads: 1 } },
    ...endpoints.map((endpoint): Resource => ({
      kind: 'Endpoint',
      name: endpoint.name,
      revision,
      spec: { pool: POOL, url: 'http://127.0.0.1:1', dataCentre: endpoint.dataCentre, weight: 1, cacheBlocks: 4_000, checksFencing: true, checksIdempotencyKeys: false, draining: false }
    }))
  ]
  return { resources: { revision, resources }, vms: [], endpoints: views.map(endpoint => buildView(endpoint, atMs)) }
}

function buildView ({ name, incarnation, state, weightsVersion, queuedTokens, role, adapter }: SimulatedEndpoint, atMs: number): EndpointView {
  const load = { endpoint: name, incarnation, weightsVersion, running: 0, queued: 0, queuedTokens, role, adapter, atMs }
  return { endpoint: name, incarnation, state, weightsVersion, load, loadAgeMs: 0 }
}

export function buildRequestLevels (organisation: string, texts: string[], weightsVersion = 'w1'): PrefixLevel[] {
  return buildPrefixLevels({ organisation, model: 'm', adapter: '', weightsVersion }, texts.map(text => text.repeat(4_000)))
}

export function placeOn (placement: Placement, request: Partial<PlaceRequest>): PlacedDecision {
  const decision = placement.place({ pool: POOL, levels: [], excluded: [], ...request })
  if (decision.type !== 'placed') throw new Error(`Not placed: ${decision.reason}.`)
  return decision
}
