import { EndpointBackpressure } from 'knapweedshunt-admission'
import type { EndpointAcceptance, EndpointUse, BackpressureSignals } from 'knapweedshunt-admission'
import type { EndpointName, Incarnation, RequestId } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { ResponseHead } from '../ports/endpointPort.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { EndpointLimits } from './endpointLimits.ts'
import type { EndpointRecord } from './endpointRecord.ts'

/** Dependencies of {@link EndpointPermits}. */
export interface EndpointPermitsDependencies {
  endpointLimits: EndpointLimits
  decisionLog: DecisionLog
  countVms (): number
  findEndpoint (endpoint: EndpointName): EndpointRecord | undefined
  /** Called when an endpoint says for the first time that it leaves. */
  onLeaving (): void
}

/** What endpoints accept from this VM, by all that their responses state. Whatever is sent to an endpoint, a request, a probe or a management call, takes a permit here. */
export class EndpointPermits {
  readonly #dependencies: EndpointPermitsDependencies
  readonly #backpressure = new EndpointBackpressure()

  constructor (dependencies: EndpointPermitsDependencies) {
    this.#dependencies = dependencies
  }

  /** Number of endpoints that asked this VM to back off. */
  get backoffCount (): number {
    return this.#backpressure.backoffCount
  }

  /** Limit of an endpoint, in requests per second for all VMs together; null for none. */
  findLimit (record: EndpointRecord): number | null {
    return this.#dependencies.endpointLimits.findLimit(record)
  }

  /** This VM's part of an endpoint's limit, in requests per second; infinite without a limit. */
  getOwnRatePerS (record: EndpointRecord): number {
    return this.#dependencies.endpointLimits.getOwnRatePerS(record)
  }

  /** Time until this VM may send the endpoint something, in milliseconds; infinite if it may not. */
  getWaitMs (record: EndpointRecord): number {
    const backpressureMs = match(this.#findAcceptance(record))
      .with({ type: 'open' }, () => 0)
      .with({ type: 'waiting' }, ({ waitMs }) => waitMs)
      .with({ type: 'leaving' }, () => Infinity)
      .exhaustive()
    return Math.max(backpressureMs, this.#dependencies.endpointLimits.getWaitMs(record))
  }

  /** Counts what is about to be sent; false if the endpoint may not be sent it now. */
  tryTake (record: EndpointRecord): boolean {
    return this.#findAcceptance(record).type === 'open' && this.#dependencies.endpointLimits.tryTake(record)
  }

  /** Records what the response to an attempt says about its endpoint. */
  recordResponse (record: EndpointRecord, head: ResponseHead, requestId: RequestId, attemptStartedAtMs: number): void {
    const { entry } = record
    const signals = decodeSignals(head)
    this.#backpressure.recordResponse(entry.incarnation, entry.pool, signals, attemptStartedAtMs, this.#getUse(record))
    this.#recordDecision(record, head, signals, requestId)
    if (signals.isLeaving) this.#markLeaving(record)
    this.#dependencies.endpointLimits.recordResponse(record, head.limit, requestId, attemptStartedAtMs)
  }

  /** Records that an endpoint said to another VM, which relayed its response, that it leaves. */
  recordLeaving (endpoint: EndpointName, incarnation: Incarnation): void {
    const record = this.#dependencies.findEndpoint(endpoint)
    if (record?.entry.incarnation === incarnation) this.#markLeaving(record)
  }

  /** Whether the end of the endpoint may come from too many rejections rather than from the requests that it ran. */
  isEndDoubtful ({ entry }: EndpointRecord): boolean {
    return this.#backpressure.isEndDoubtful(entry.pool)
  }

  /** Forgets the backpressure of an endpoint that ended. */
  handleIncarnationEnded (record: EndpointRecord): void {
    this.#backpressure.handleEndpointEnded(record.entry.incarnation)
    this.#dependencies.endpointLimits.handleIncarnationEnded(record)
  }

  #findAcceptance (record: EndpointRecord): EndpointAcceptance {
    return this.#backpressure.findAcceptance(record.entry.incarnation, record.entry.pool, this.#getUse(record))
  }

  #getUse ({ entry, inFlightCount }: EndpointRecord): EndpointUse {
    return { inFlightCount, slots: entry.slots, vmCount: this.#dependencies.countVms() }
  }

  #markLeaving (record: EndpointRecord): void {
    if (record.isLeaving) return
    record.isLeaving = true
    this.#dependencies.onLeaving()
  }

  #recordDecision ({ entry, isLeaving: wasLeaving }: EndpointRecord, { backoff, brittleness }: ResponseHead, { backoffMs, isLeaving, maxRejectionsPerS }: BackpressureSignals, requestId: RequestId): void {
    const unreadable = [backoff, brittleness].flatMap(one => one.type === 'unreadable' ? [one.text] : []).join()
    if (backoffMs === null && (!isLeaving || wasLeaving) && maxRejectionsPerS === null && unreadable === '') return
    this.#dependencies.decisionLog.record({ type: 'backpressureStated', endpoint: entry.endpoint, incarnation: entry.incarnation, requestId, backoffMs, isLeaving, maxRejectionsPerS, unreadable })
  }
}

/** A back-off counts only with a rejection. */
function decodeSignals ({ isNotRun, backoff, isLeaving, brittleness }: ResponseHead): BackpressureSignals {
  return { isRejected: isNotRun, backoffMs: isNotRun && backoff.type === 'backoff' ? backoff.forMs : null, isLeaving, maxRejectionsPerS: brittleness.type === 'brittle' ? brittleness.maxRejectionsPerS : null }
}
