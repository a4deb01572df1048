import type { OrganisationName, RequestId } from 'knapweedshunt-types'
import type { AdmissionRequest } from './admissionTypes.ts'
import { ClassQueues } from './classQueues.ts'
import { MinHeap } from './minHeap.ts'
import { ServiceMeter } from './serviceMeter.ts'
import type { WaitingRequest } from './waitingRequest.ts'

/** The deadline heap is cleaned when it has this many times the waiting requests, and `MIN_HEAP` more. */
const STALE_FACTOR = 4
const MIN_HEAP = 64

/** Requests of one pool that wait or run. */
export class PoolQueue {
  readonly queues: ClassQueues
  readonly meter = new ServiceMeter()
  readonly #byDeadline = new MinHeap<AdmissionRequest>()
  readonly #admittedAtMs = new Map<RequestId, number>()

  constructor (agedEvery: number) {
    this.queues = new ClassQueues(agedEvery)
  }

  /** Running requests. */
  get running (): number {
    return this.#admittedAtMs.size
  }

  /** Adds a request that must wait. */
  add (waiting: WaitingRequest): void {
    this.queues.add(waiting)
    this.#byDeadline.add(waiting.request.deadlineAtMs, waiting.request)
    if (this.#byDeadline.size > STALE_FACTOR * (this.queues.size + MIN_HEAP)) this.#byDeadline.keep(request => this.queues.has(request))
  }

  /** Whether the organisation may have one more waiting request: no more than the places still free, so a newcomer always finds one. */
  hasRoom (organisation: OrganisationName, maxQueue: number): boolean {
    const free = maxQueue - this.queues.size
    return free > 0 && this.queues.countOf(organisation) < free
  }

  /** Takes the next request if one fits into the capacity. */
  takeNext (capacity: number, nowMs: number): AdmissionRequest | undefined {
    if (this.running >= capacity) return undefined
    const next = this.queues.take(nowMs)?.request
    if (next === undefined) return undefined
    this.#admittedAtMs.set(next.requestId, nowMs)
    return next
  }

  /** Takes all waiting requests. */
  takeAll (nowMs: number): AdmissionRequest[] {
    const all: AdmissionRequest[] = []
    for (let next = this.queues.take(nowMs); next !== undefined; next = this.queues.take(nowMs)) all.push(next.request)
    return all
  }

  /** Takes the waiting requests whose deadline has passed. */
  takeExpired (nowMs: number): AdmissionRequest[] {
    const expired: AdmissionRequest[] = []
    for (let top = this.#byDeadline.peek(); top !== undefined && top.key <= nowMs; top = this.#byDeadline.peek()) {
      this.#byDeadline.take()
      if (this.queues.cancel(top.value)) expired.push(top.value)
    }
    return expired
  }

  /** Earliest deadline of a request that may wait still; Infinity when none does. */
  findNextDeadline (): number {
    if (this.queues.size === 0) this.#byDeadline.clear()
    return this.#byDeadline.peek()?.key ?? Infinity
  }

  /** A running request is over. */
  release (requestId: RequestId, nowMs: number): void {
    const atMs = this.#admittedAtMs.get(requestId)
    if (atMs === undefined) return
    this.#admittedAtMs.delete(requestId)
    this.meter.note(nowMs - atMs)
  }
}
