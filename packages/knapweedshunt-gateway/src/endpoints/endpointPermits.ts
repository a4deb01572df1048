import { EndpointWishes } from 'knapweedshunt-admission'
import type { EndpointAcceptance, EndpointUse, StatedWishes } from 'knapweedshunt-admission'
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
  readonly #wishes = new EndpointWishes()

  constructor (dependencies: EndpointPermitsDependencies) {
    this.#dependencies = dependencies
  }

  /** Number of endpoints that want rest now. */
  get restingCount (): number {
    return this.#wishes.restingCount
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
    const wishedMs = match(this.#findAcceptance(record))
      .with({ type: 'open' }, () => 0)
      .with({ type: 'waiting' }, ({ waitMs }) => waitMs)
      .with({ type: 'leaving' }, () => Infinity)
      .exhaustive()
    return Math.max(wishedMs, this.#dependencies.endpointLimits.getWaitMs(record))
  }

  /** Counts what is about to be sent; false if the endpoint may not be sent it now. */
  tryTake (record: EndpointRecord): boolean {
    return this.#findAcceptance(record).type === 'open' && this.#dependencies.endpointLimits.tryTake(record)
  }

  /** Records what the response to an attempt says about its endpoint. */
  recordResponse (record: EndpointRecord, head: ResponseHead, requestId: RequestId, attemptStartedAtMs: number): void {
    const { entry } = record
    const wishes = decodeWishes(head)
    this.#wishes.recordResponse(entry.incarnation, entry.pool, wishes, attemptStartedAtMs, this.#getUse(record))
    this.#recordDecision(record, head, wishes, requestId)
    if (wishes.isLeaving) this.#markLeaving(record)
    this.#dependencies.endpointLimits.recordResponse(record, head.limit, requestId, attemptStartedAtMs)
  }

  /** Records that an endpoint said to another VM, which relayed its response, that it leaves. */
  recordLeaving (endpoint: EndpointName, incarnation: Incarnation): void {
    const record = this.#dependencies.findEndpoint(endpoint)
    if (record?.entry.incarnation === incarnation) this.#markLeaving(record)
  }

  /** Whether the end of the endpoint may come from too many rejections rather than from the requests that it ran. */
  isEndDoubtful ({ entry }: EndpointRecord): boolean {
    return this.#wishes.isEndDoubtful(entry.pool)
  }

  /** Forgets the wishes of an endpoint that ended. */
  handleIncarnationEnded (record: EndpointRecord): void {
    this.#wishes.handleEndpointEnded(record.entry.incarnation)
    this.#dependencies.endpointLimits.handleIncarnationEnded(record)
  }

  #findAcceptance (record: EndpointRecord): EndpointAcceptance {
    return this.#wishes.findAcceptance(record.entry.incarnation, record.entry.pool, this.#getUse(record))
  }

  #getUse ({ entry, inFlightCount }: EndpointRecord): EndpointUse {
    return { inFlightCount, slots: entry.slots, vmCount: this.#dependencies.countVms() }
  }

  #markLeaving (record: EndpointRecord): void {
    if (record.isLeaving) return
    record.isLeaving = true
    this.#dependencies.onLeaving()
  }

  #recordDecision ({ entry, isLeaving: wasLeaving }: EndpointRecord, { rest, brittleness }: ResponseHead, { restMs, isLeaving, maxRejectionsPerS }: StatedWishes, requestId: RequestId): void {
    const unreadable = [rest, brittleness].flatMap(one => one.type === 'unreadable' ? [one.text] : []).join()
    if (restMs === null && (!isLeaving || wasLeaving) && maxRejectionsPerS === null && unreadable === '') return
    this.#dependencies.decisionLog.record({ type: 'wishStated', endpoint: entry.endpoint, incarnation: entry.incarnation, requestId, restMs, isLeaving, maxRejectionsPerS, unreadable })
  }
}

/** A rest counts only with a rejection. */
function decodeWishes ({ isNotRun, rest, isLeaving, brittleness }: ResponseHead): StatedWishes {
  return { isRejected: isNotRun, restMs: isNotRun && rest.type === 'rest' ? rest.forMs : null, isLeaving, maxRejectionsPerS: brittleness.type === 'brittle' ? brittleness.maxRejectionsPerS : null }
}
