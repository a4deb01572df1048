import type { EndpointView } from 'knapweedshunt-types'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { KeyDemand, KvStoreEntry } from '../../src/index.ts'
import type { Job } from '../model/job.ts'
import { parseEngineIndex } from './policy.ts'
import type { Policy, PolicyChoice, PolicyContext } from './policy.ts'

interface KnownLoad {
  isUsable: boolean
  reportedRequests: number
  startedSinceReport: number
  own: number
}

/** Common part of the compared policies: all use the same delayed views and prefer the local data centre unless all are near. */
export abstract class BasePolicy implements Policy {
  protected readonly context: PolicyContext
  protected readonly rng: Rng
  readonly #loads: KnownLoad[]

  constructor (context: PolicyContext) {
    this.context = context
    this.rng = createRng(context.seed)
    this.#loads = context.engines.map(() => ({ isUsable: true, reportedRequests: 0, startedSinceReport: 0, own: 0 }))
  }

  protected abstract selectEngine (job: Job, eligible: number[]): number

  choose (job: Job, excluded: number[]): PolicyChoice | null {
    const eligible = this.#loads.flatMap((load, i) => load.isUsable && !excluded.includes(i) ? [i] : [])
    const local = eligible.filter(i => this.context.engines[i].dataCentre === this.context.dataCentre)
    const candidates = !this.context.isNear && local.length > 0 ? local : eligible
    return candidates.length === 0 ? null : { engine: this.selectEngine(job, candidates), importKey: null }
  }

  updateViews (views: EndpointView[]): void {
    for (const view of views) {
      const load = this.#loads[parseEngineIndex(view.endpoint)]
      load.isUsable = view.state === 'live' || view.state === 'suspect'
      load.reportedRequests = (view.load?.running ?? 0) + (view.load?.queued ?? 0)
      load.startedSinceReport = 0
    }
  }

  recordStart (_attempt: string, _job: Job, engine: number): void {
    this.#loads[engine].startedSinceReport++
    this.#loads[engine].own++
  }

  recordEnd (_attempt: string, engine: number): void {
    this.#loads[engine].own--
  }

  updateKvStore (_entries: KvStoreEntry[]): void {}

  updatePeerDemand (): void {}

  recordAnswer (): void {}

  listHotKeys (): KeyDemand[] {
    return []
  }

  protected countRequests (engine: number): number {
    const load = this.#loads[engine]
    return Math.max(load.own, load.reportedRequests + load.startedSinceReport)
  }
}
