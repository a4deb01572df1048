import type { EndpointView } from 'knapweedshunt-types'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { KeptEntry, KeyDemand } from '../../src/index.ts'
import type { Job } from '../model/job.ts'
import { readEngine } from './policy.ts'
import type { Policy, PolicyChoice, PolicyWorld } from './policy.ts'

interface KnownLoad {
  isUsable: boolean
  reported: number
  sinceReport: number
  own: number
}

/** What all compared policies share: the same lagging views, own data centre first unless all are near. */
export abstract class BasePolicy implements Policy {
  protected readonly world: PolicyWorld
  protected readonly rng: Rng
  readonly #loads: KnownLoad[]

  constructor (world: PolicyWorld) {
    this.world = world
    this.rng = createRng(world.seed)
    this.#loads = world.engines.map(() => ({ isUsable: true, reported: 0, sinceReport: 0, own: 0 }))
  }

  protected abstract pick (job: Job, open: number[]): number

  choose (job: Job, excluded: number[]): PolicyChoice | null {
    const open = this.#loads.flatMap((load, i) => load.isUsable && !excluded.includes(i) ? [i] : [])
    const local = open.filter(i => this.world.engines[i].dataCentre === this.world.dataCentre)
    const from = !this.world.isNear && local.length > 0 ? local : open
    return from.length === 0 ? null : { engine: this.pick(job, from), importKey: null }
  }

  takeViews (views: EndpointView[]): void {
    for (const view of views) {
      const load = this.#loads[readEngine(view.endpoint)]
      load.isUsable = view.state === 'live' || view.state === 'suspect'
      load.reported = (view.load?.running ?? 0) + (view.load?.queued ?? 0)
      load.sinceReport = 0
    }
  }

  noteStart (_attempt: string, _job: Job, engine: number): void {
    this.#loads[engine].sinceReport++
    this.#loads[engine].own++
  }

  noteEnd (_attempt: string, engine: number): void {
    this.#loads[engine].own--
  }

  takeKept (_entries: KeptEntry[]): void {}

  takePeerDemand (): void {}

  noteAnswer (): void {}

  listHotKeys (): KeyDemand[] {
    return []
  }

  protected countLoad (engine: number): number {
    const load = this.#loads[engine]
    return Math.max(load.own, load.reported + load.sinceReport)
  }
}
