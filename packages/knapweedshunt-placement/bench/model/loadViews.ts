import type { EndpointView, LoadReport } from 'knapweedshunt-types'
import { formatEngineName } from '../policies/policy.ts'
import type { EngineModel } from './engineModel.ts'

const SUSPECT_AFTER_MS = 2_000
const DEAD_AFTER_MS = 5_000

interface ReceivedReport {
  load: LoadReport
  atMs: number
}

/** Latest load reports of the engines, as the control service sends them to the routers. */
export class LoadViews {
  readonly #reports = new Map<number, ReceivedReport>()

  /** Reads the load of all engines that are up. */
  poll (engines: EngineModel[], nowMs: number): void {
    for (const engine of engines) {
      if (engine.isUp) this.#reports.set(engine.index, { load: buildLoadReport(engine, nowMs), atMs: nowMs })
    }
  }

  /** Lists the current views of the given engines; `lagMs` is the delay until they reach the routers. */
  list (engines: EngineModel[], nowMs: number, lagMs: number): EndpointView[] {
    return engines.flatMap(({ index }) => {
      const report = this.#reports.get(index)
      return report === undefined ? [] : [buildView(report, nowMs - report.atMs, lagMs)]
    })
  }
}

function buildLoadReport (engine: EngineModel, nowMs: number): LoadReport {
  return {
    endpoint: formatEngineName(engine.index),
    incarnation: String(engine.incarnation),
    weightsVersion: 'w1',
    running: engine.running,
    queued: engine.queued,
    queuedTokens: Math.round(engine.countQueuedTokens()),
    atMs: nowMs
  }
}

function buildView ({ load }: ReceivedReport, reportAgeMs: number, lagMs: number): EndpointView {
  const state = reportAgeMs >= DEAD_AFTER_MS ? 'dead' : reportAgeMs >= SUSPECT_AFTER_MS ? 'suspect' : 'live'
  return { endpoint: load.endpoint, incarnation: load.incarnation, state, weightsVersion: load.weightsVersion, load, loadAgeMs: reportAgeMs + lagMs }
}
