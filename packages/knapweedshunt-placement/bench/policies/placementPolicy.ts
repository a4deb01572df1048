import type { EndpointView, Resource, VmId } from 'knapweedshunt-types'
import { Placement } from '../../src/index.ts'
import type { KeyDemand, KvStoreEntry, PlacedDecision } from '../../src/index.ts'
import type { Deployment } from '../model/deployments.ts'
import type { Job } from '../model/job.ts'
import { formatEngineName, parseEngineIndex } from './policy.ts'
import type { Policy, PolicyChoice, PolicyContext } from './policy.ts'

const POOL = 'pool'
const VMS: never[] = []

/** The placement under test. */
export class PlacementPolicy implements Policy {
  readonly #placement: Placement
  readonly #resources: Resource[]
  readonly #dataCentre: string
  #decision: PlacedDecision | null = null

  constructor (context: PolicyContext, deployment: Deployment) {
    this.#dataCentre = `dc-${context.dataCentre}`
    this.#placement = new Placement(this.#dataCentre, { seed: context.seed, nearDataCentres: context.isNear ? deployment.engines.map((_, i) => `dc-${i}`) : [] })
    this.#resources = buildResources(context, deployment)
    this.updateViews([])
  }

  updateViews (endpoints: EndpointView[]): void {
    this.#placement.handleEvent({ type: 'snapshot', snapshot: { resources: { revision: 1, resources: this.#resources }, vms: VMS, endpoints } })
  }

  updateKvStore (entries: KvStoreEntry[]): void {
    this.#placement.handleEvent({ type: 'kvStore', entries })
  }

  updatePeerDemand (vm: VmId, n: number, demands: KeyDemand[]): void {
    this.#placement.handleEvent({ type: 'peerDemand', vm, incarnation: 'one', dataCentre: this.#dataCentre, n, demands })
  }

  listHotKeys (): KeyDemand[] {
    return this.#placement.listHotKeys()
  }

  choose (job: Job, excluded: number[]): PolicyChoice | null {
    const decision = this.#placement.place({ pool: POOL, levels: job.levels, excluded: excluded.map(formatEngineName), job: job.job })
    if (decision.type === 'unplaceable') return null
    this.#decision = decision
    return { engine: parseEngineIndex(decision.endpoint), importKey: decision.kvImport?.key ?? null }
  }

  recordStart (attempt: string, job: Job, engine: number): void {
    this.#placement.handleEvent({ type: 'started', attempt, endpoint: formatEngineName(engine), tokens: job.promptTokens, levels: job.levels, decision: this.#decision ?? undefined })
  }

  recordAnswer (attempt: string, incarnation: string): void {
    this.#placement.handleEvent({ type: 'answered', attempt, incarnation, weightsVersion: 'w1' })
  }

  recordEnd (attempt: string, _engine: number, cachedTokens: number | null): void {
    this.#placement.handleEvent({ type: 'finished', attempt, cachedTokens })
  }
}

function buildResources ({ engines }: PolicyContext, deployment: Deployment): Resource[] {
  return [
    { kind: 'EndpointPool', name: POOL, revision: 1, spec: { type: 'model', model: 'model', weightsVersion: 'w1', objective: deployment.objective, floor: 1, maxParallelLoads: 1 } },
    ...engines.map(({ index, dataCentre }): Resource => ({
      kind: 'Endpoint',
      name: formatEngineName(index),
      revision: 1,
      spec: { pool: POOL, url: 'http://127.0.0.1:1', dataCentre: `dc-${dataCentre}`, weight: 1, cacheBlocks: 4_000, checksFencing: true, checksIdempotencyKeys: false, draining: false }
    }))
  ]
}
