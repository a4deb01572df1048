import { match } from 'ts-pattern'
import type { RequestId } from 'knapweedshunt-types'
import type { StatedLimit } from '../ports/endpointPort.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import type { EndpointRecord } from './endpointRecord.ts'

/** Records the rate limits that endpoints state in their responses. */
export class LimitRecorder {
  readonly #decisionLog: DecisionLog
  readonly #metrics: GatewayMetrics

  constructor (decisionLog: DecisionLog, metrics: GatewayMetrics) {
    this.#decisionLog = decisionLog
    this.#metrics = metrics
  }

  /** Records what a response says about its endpoint's limit. */
  recordResponse (record: EndpointRecord, limit: StatedLimit, requestId: RequestId): void {
    match(limit)
      .with({ type: 'none' }, () => this.#setLimit(record, null, requestId))
      .with({ type: 'limited' }, ({ requestsPerS }) => this.#setLimit(record, requestsPerS, requestId))
      .with({ type: 'unreadable' }, ({ text }) => this.#decisionLog.record({ type: 'limitUnreadable', endpoint: record.entry.endpoint, incarnation: record.entry.incarnation, requestId, text }))
      .exhaustive()
  }

  #setLimit (record: EndpointRecord, limitPerS: number | null, requestId: RequestId): void {
    const previousPerS = record.statedLimitPerS
    if (limitPerS === previousPerS) return
    record.statedLimitPerS = limitPerS
    this.#metrics.recordLimitChange()
    this.#decisionLog.record({ type: 'limitStated', endpoint: record.entry.endpoint, incarnation: record.entry.incarnation, requestId, limitPerS, previousPerS })
  }
}
