import { MAX_IN_FLIGHT_MS } from 'knapweedshunt-attempts'
import type { EndpointLifespans, HeldCrash, OpenCrash } from 'knapweedshunt-attempts'
import type { EndpointName } from 'knapweedshunt-types'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'

/** Time within which the directory shows that an endpoint has started again, in milliseconds: two heartbeats. */
const DIRECTORY_DELAY_MS = 2_500

/** Minimum time between two probes of an endpoint whose answer is needed, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000

/** First answer of an endpoint since a crash. Monotonic times, in milliseconds. */
interface AnswerSince {
  /** Latest time at which the endpoint's process would have ended. */
  crashedAtMs: number
  answeredAtMs: number
}

/** Dependencies of {@link DirectorySurvivals}. */
export interface DirectorySurvivalsDependencies {
  lifespans: EndpointLifespans
  /** Finds the record of an incarnation that the directory lists. */
  findIncarnation (incarnation: EndpointName): EndpointRecord | null
  /** Probes an endpoint. */
  probe (record: EndpointRecord): void
}

/** Finds endpoints that have lived on after crashes that this VM or another one has recorded: one that answers afterwards, and that the directory still lists with the same start when it would list another, is the process of before. */
export class DirectorySurvivals {
  readonly #dependencies: DirectorySurvivalsDependencies
  readonly #answers = new WeakMap<HeldCrash, AnswerSince>()
  readonly #probedAtMs = new WeakMap<EndpointRecord, number>()

  constructor (dependencies: DirectorySurvivalsDependencies) {
    this.#dependencies = dependencies
  }

  /** Looks at the answers since the crashes; `directoryAtMs` is the monotonic time as of which the endpoint table is confirmed. */
  update (openCrashes: Iterable<OpenCrash>, directoryAtMs: number): void {
    for (const { crash, isRefused } of openCrashes) {
      const record = this.#dependencies.findIncarnation(crash.endpoint)
      if (record === null) continue
      const answeredAtMs = this.#findAnswer(crash, record)
      if (answeredAtMs !== null) this.#recordAlive(crash, answeredAtMs, directoryAtMs)
      else if (this.#isProbeDue(record) && isRefused()) this.#probe(record)
    }
  }

  #findAnswer (crash: HeldCrash, record: EndpointRecord): number | null {
    const crashedAtMs = crash.endPeriod.latestAtMs
    const known = this.#answers.get(crash)
    if (known?.crashedAtMs === crashedAtMs) return known.answeredAtMs
    if (!hasAnsweredAfter(record, crashedAtMs)) return null
    this.#answers.set(crash, { crashedAtMs, answeredAtMs: record.answeredAtMs })
    return record.answeredAtMs
  }

  #recordAlive ({ endpoint, endPeriod: { earliestAtMs, latestAtMs } }: HeldCrash, answeredAtMs: number, directoryAtMs: number): void {
    if (directoryAtMs >= answeredAtMs + DIRECTORY_DELAY_MS) this.#dependencies.lifespans.recordAlive(endpoint, earliestAtMs, latestAtMs)
  }

  #isProbeDue (record: EndpointRecord): boolean {
    return performance.now() - (this.#probedAtMs.get(record) ?? -Infinity) >= PROBE_INTERVAL_MS
  }

  #probe (record: EndpointRecord): void {
    this.#probedAtMs.set(record, performance.now())
    this.#dependencies.probe(record)
  }
}

/** Whether the endpoint's process has answered after a monotonic time. Bytes of other connections may have been sent before. */
function hasAnsweredAfter ({ answeredAtMs, answeredProbeAtMs }: EndpointRecord, crashedAtMs: number): boolean {
  return answeredProbeAtMs > crashedAtMs || answeredAtMs > crashedAtMs + MAX_IN_FLIGHT_MS
}
