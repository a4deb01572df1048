import type { EndpointView, LoadReport } from 'knapweedshunt-types'
import { nameEngine } from '../policies/policy.ts'
import type { EngineModel } from './engineModel.ts'

const SUSPECT_AFTER_MS = 2_000
const DEAD_AFTER_MS = 5_000

interface Heard {
  load: LoadReport
  atMs: number
}

/** Reports as control hands them to the routers. */
export class LoadViews {
  readonly #heard = new Map<number, Heard>()

  /** Asks all engines that are up. */
  poll (engines: EngineModel[], nowMs: number): void {
    for (const engine of engines) {
      if (engine.isUp) this.#heard.set(engine.index, { load: reportLoad(engine, nowMs), atMs: nowMs })
    }
  }

  /** Views of one or of all other data centres, as of now; `lagMs` passes before they arrive. */
  list (engines: EngineModel[], nowMs: number, lagMs: number): EndpointView[] {
    return engines.flatMap(({ index }) => {
      const heard = this.#heard.get(index)
      return heard === undefined ? [] : [describeView(heard, nowMs - heard.atMs, lagMs)]
    })
  }
}

function reportLoad (engine: EngineModel, nowMs: number): LoadReport {
  return {
    endpoint: nameEngine(engine.index),
    incarnation: String(engine.incarnation),
    weightsVersion: 'w1',
    running: engine.running,
    queued: engine.queued,
    queuedTokens: Math.round(engine.countQueuedTokens()),
    atMs: nowMs
  }
}

function describeView ({ load }: Heard, silentMs: number, lagMs: number): EndpointView {
  const state = silentMs >= DEAD_AFTER_MS ? 'dead' : silentMs >= SUSPECT_AFTER_MS ? 'suspect' : 'live'
  return { endpoint: load.endpoint, incarnation: load.incarnation, state, weightsVersion: load.weightsVersion, load, loadAgeMs: silentMs + lagMs }
}
