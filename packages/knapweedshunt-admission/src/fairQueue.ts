import type { OrganisationName, RequestId } from 'knapweedshunt-types'
import { MinHeap } from './minHeap.ts'
import type { WaitingRequest } from './waitingRequest.ts'

interface Flow {
  organisation: OrganisationName
  waiting: Map<RequestId, WaitingRequest>
  /** Virtual start time of the flow's next request. */
  startTag: number
}

/**
 * Start-time fair queue over organisations: each is served in proportion to its weight.
 * Holds state only for organisations that have waiting requests or whose start tag is ahead of the virtual time.
 */
export class FairQueue {
  readonly #flows = new Map<OrganisationName, Flow>()
  readonly #heap = new MinHeap<Flow>()
  readonly #byArrival = new Map<RequestId, WaitingRequest>()
  #virtualTime = 0

  /** Waiting requests. */
  get size (): number {
    return this.#byArrival.size
  }

  /** Number of organisations with state, including those without waiting requests. */
  get flowCount (): number {
    return this.#flows.size
  }

  /** Counts the waiting requests of an organisation. */
  countByOrganisation (organisation: OrganisationName): number {
    return this.#flows.get(organisation)?.waiting.size ?? 0
  }

  /** Whether the request is queued. */
  has (request: WaitingRequest['request']): boolean {
    return this.#byArrival.has(request.requestId)
  }

  /** Returns the request that has waited longest; undefined when none waits. */
  findOldest (): WaitingRequest | undefined {
    return this.#byArrival.values().next().value
  }

  /** Adds a request at the end of its organisation's flow; O(log organisations). */
  enqueue (waiting: WaitingRequest): void {
    const { requestId, organisation } = waiting.request
    this.#getOrCreateFlow(organisation).waiting.set(requestId, waiting)
    this.#byArrival.set(requestId, waiting)
  }

  /** Removes a request whose caller disconnected or whose deadline passed; false when it is not queued. O(1). */
  remove (request: WaitingRequest['request']): boolean {
    if (!this.#byArrival.delete(request.requestId)) return false
    this.#flows.get(request.organisation)?.waiting.delete(request.requestId)
    if (this.size === 0) this.#reset()
    return true
  }

  /** Removes and returns the request with the smallest start tag; undefined when none waits. O(log organisations). */
  dequeue (): WaitingRequest | undefined {
    for (let top = this.#heap.pop(); top !== undefined; top = this.#heap.pop()) {
      const next = this.#dequeueFrom(top.value)
      if (next !== undefined) return next
    }
    return undefined
  }

  #dequeueFrom (flow: Flow): WaitingRequest | undefined {
    const next: WaitingRequest | undefined = flow.waiting.values().next().value
    if (next === undefined) {
      this.#flows.delete(flow.organisation)
      return undefined
    }
    flow.waiting.delete(next.request.requestId)
    this.#byArrival.delete(next.request.requestId)
    this.#virtualTime = Math.max(this.#virtualTime, flow.startTag)
    flow.startTag += Math.max(1, next.request.tokens) / next.weight
    if (this.size === 0) this.#reset()
    else this.#heap.push(flow.startTag, flow)
    return next
  }

  #getOrCreateFlow (organisation: OrganisationName): Flow {
    const existing = this.#flows.get(organisation)
    if (existing !== undefined) return existing
    const flow: Flow = { organisation, waiting: new Map(), startTag: this.#virtualTime }
    this.#flows.set(organisation, flow)
    this.#heap.push(flow.startTag, flow)
    return flow
  }

  /** Drops all flows: when nothing waits, past service no longer counts. */
  #reset (): void {
    this.#flows.clear()
    this.#heap.clear()
    this.#virtualTime = 0
  }
}
