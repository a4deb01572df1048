import type { OrganisationName, RequestId } from 'knapweedshunt-types'
import type { AdmissionRequest } from './admissionTypes.ts'
import { PriorityClassQueues } from './priorityClassQueues.ts'
import { MinHeap } from './minHeap.ts'
import { ServiceTimeTracker } from './serviceTimeTracker.ts'
import type { WaitingRequest } from './waitingRequest.ts'

/** The deadline heap is purged of stale entries when it is larger than this factor times the waiting requests plus `MIN_HEAP_SIZE`. */
const STALE_HEAP_FACTOR = 4
const MIN_HEAP_SIZE = 64

/** Waiting and running requests of one pool. */
export class PoolQueue {
  readonly waitingQueues: PriorityClassQueues
  readonly serviceTimes = new ServiceTimeTracker()
  readonly #byDeadline = new MinHeap<AdmissionRequest>()
  readonly #admittedAtMs = new Map<RequestId, number>()

  constructor (agedStartInterval: number) {
    this.waitingQueues = new PriorityClassQueues(agedStartInterval)
  }

  /** Number of running requests. */
  get runningCount (): number {
    return this.#admittedAtMs.size
  }

  /** Queues a request until `startNext` returns it. */
  enqueue (waiting: WaitingRequest): void {
    this.waitingQueues.enqueue(waiting)
    this.#byDeadline.push(waiting.request.deadlineAtMs, waiting.request)
    if (this.#byDeadline.size > STALE_HEAP_FACTOR * (this.waitingQueues.size + MIN_HEAP_SIZE)) this.#byDeadline.retain(request => this.waitingQueues.has(request))
  }

  /** Whether the organisation may queue one more request. It must have fewer waiting requests than there are free places, so that one organisation cannot fill the queue and others still find a place. */
  hasQueueSpace (organisation: OrganisationName, maxQueuedRequests: number): boolean {
    const freePlaces = maxQueuedRequests - this.waitingQueues.size
    return freePlaces > 0 && this.waitingQueues.countByOrganisation(organisation) < freePlaces
  }

  /** Starts the next waiting request and returns it; undefined when none waits or the capacity is used up. */
  startNext (capacity: number, nowMs: number): AdmissionRequest | undefined {
    if (this.runningCount >= capacity) return undefined
    const next = this.waitingQueues.dequeue(nowMs)?.request
    if (next === undefined) return undefined
    this.#admittedAtMs.set(next.requestId, nowMs)
    return next
  }

  /** Removes and returns all waiting requests. */
  removeAllWaiting (nowMs: number): AdmissionRequest[] {
    const removed: AdmissionRequest[] = []
    for (let next = this.waitingQueues.dequeue(nowMs); next !== undefined; next = this.waitingQueues.dequeue(nowMs)) removed.push(next.request)
    return removed
  }

  /** Removes and returns the waiting requests whose deadline has passed. */
  removeExpired (nowMs: number): AdmissionRequest[] {
    const expired: AdmissionRequest[] = []
    for (let top = this.#byDeadline.peek(); top !== undefined && top.key <= nowMs; top = this.#byDeadline.peek()) {
      this.#byDeadline.pop()
      if (this.waitingQueues.remove(top.value)) expired.push(top.value)
    }
    return expired
  }

  /** Earliest deadline in the heap, in milliseconds; may be that of a request that no longer waits. Infinity when none waits. */
  findNextDeadlineAtMs (): number {
    if (this.waitingQueues.size === 0) this.#byDeadline.clear()
    return this.#byDeadline.peek()?.key ?? Infinity
  }

  /** Ends a running request and records its service time. Ignores requests that are not running. */
  release (requestId: RequestId, nowMs: number): void {
    const admittedAtMs = this.#admittedAtMs.get(requestId)
    if (admittedAtMs === undefined) return
    this.#admittedAtMs.delete(requestId)
    this.serviceTimes.record(nowMs - admittedAtMs)
  }
}
