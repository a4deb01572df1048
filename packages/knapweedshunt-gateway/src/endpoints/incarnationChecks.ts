import { match } from 'ts-pattern'
import { ENDPOINT_POLL_WAIT_MS } from '../directory/tableFollowers.ts'
import type { EndpointReport, ManagementPort } from '../ports/managementPort.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { EndpointRecord } from './endpointRecord.ts'
import type { IncarnationCheck } from './incarnationCheck.ts'

/** Age of the endpoint table up to which its rows are believed, in milliseconds. It counts from the sending of the last answered poll, so that of a table in touch reaches two long polls. */
const MAX_BELIEVED_AGE_MS = 2 * ENDPOINT_POLL_WAIT_MS + 300

/** Time for which a check counts, in milliseconds; a process takes about as long to start. */
const VALID_MS = 300

/** Timeout of a report, in milliseconds; the network round trip takes one or two. */
const REPORT_TIMEOUT_MS = 250

interface RunningCheck {
  startedAtMs: number
  result: Promise<IncarnationCheck>
}

/** Dependencies of {@link IncarnationChecks}. */
export interface IncarnationChecksDependencies {
  managementPort: Pick<ManagementPort, 'readReport'>
  decisionLog: Pick<DecisionLog, 'record'>
  /** Time since the endpoint table was last confirmed, in milliseconds. */
  getEndpointsAgeMs (): number
  /** Counts a report towards the endpoint's rate limit; false if it may not be asked for now. */
  tryTakePermit (record: EndpointRecord): boolean
}

/** Checks that endpoints have not restarted since their rows were read, while this VM cannot read the rows: an endpoint may come back under its name with another software version. */
export class IncarnationChecks {
  readonly #dependencies: IncarnationChecksDependencies
  readonly #checks = new WeakMap<EndpointRecord, RunningCheck>()

  constructor (dependencies: IncarnationChecksDependencies) {
    this.#dependencies = dependencies
  }

  /** Whether the row's software version may be taken for the endpoint's. An endpoint whose report states no start is believed. */
  async isConfirmed (record: EndpointRecord): Promise<boolean> {
    if (this.#dependencies.getEndpointsAgeMs() <= MAX_BELIEVED_AGE_MS) return true
    const check = await this.#findOrStart(record)
    return check.type === 'same' || check.type === 'unstated'
  }

  async #findOrStart (record: EndpointRecord): Promise<IncarnationCheck> {
    const known = this.#checks.get(record)
    if (known !== undefined && performance.now() - known.startedAtMs < VALID_MS) return await known.result
    if (!this.#dependencies.tryTakePermit(record)) {
      this.#recordUnconfirmed(record, 'no permit', '')
      return { type: 'unread' }
    }
    const started = { startedAtMs: performance.now(), result: this.#run(record) }
    this.#checks.set(record, started)
    return await started.result
  }

  async #run (record: EndpointRecord): Promise<IncarnationCheck> {
    const check = buildCheck(record, await this.#dependencies.managementPort.readReport(record.entry, REPORT_TIMEOUT_MS))
    match(check)
      .with({ type: 'same' }, { type: 'unstated' }, () => {})
      .with({ type: 'other' }, ({ reported }) => this.#recordUnconfirmed(record, 'other start', reported))
      .with({ type: 'unread' }, () => this.#recordUnconfirmed(record, 'no report', ''))
      .exhaustive()
    return check
  }

  #recordUnconfirmed ({ entry }: EndpointRecord, reason: string, reported: string): void {
    this.#dependencies.decisionLog.record({ type: 'incarnationUnconfirmed', endpoint: entry.endpoint, incarnation: entry.incarnation, reported, reason, tableAgeMs: Math.round(Math.min(this.#dependencies.getEndpointsAgeMs(), Number.MAX_SAFE_INTEGER)) })
  }
}

function buildCheck ({ entry }: EndpointRecord, report: EndpointReport | null): IncarnationCheck {
  if (report === null) return { type: 'unread' }
  if (report.incarnation === null) return { type: 'unstated' }
  return report.incarnation === entry.incarnation ? { type: 'same' } : { type: 'other', reported: report.incarnation }
}
