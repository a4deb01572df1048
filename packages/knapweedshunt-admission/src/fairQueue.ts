import type { OrganisationName, RequestId } from 'knapweedshunt-types'
import { MinHeap } from './minHeap.ts'
import type { WaitingRequest } from './waitingRequest.ts'

interface Flow {
  organisation: OrganisationName
  waiting: Map<RequestId, WaitingRequest>
  /** Virtual time at which the flow may start its next request. */
  startTag: number
}

/**
 * Start-time fair queue over organisations: each gets service in proportion to its weight.
 * Holds state only of organisations that wait or are ahead of the virtual time.
 */
export class FairQueue {
  readonly #flows = new Map<OrganisationName, Flow>()
  readonly #heap = new MinHeap<Flow>()
  readonly #byAge = new Map<RequestId, WaitingRequest>()
  #virtualTime = 0

  /** Waiting requests. */
  get size (): number {
    return this.#byAge.size
  }

  /** Organisations with state. */
  get flows (): number {
    return this.#flows.size
  }

  /** Waiting requests of one organisation. */
  countOf (organisation: OrganisationName): number {
    return this.#flows.get(organisation)?.waiting.size ?? 0
  }

  /** Whether the request waits. */
  has (request: WaitingRequest['request']): boolean {
    return this.#byAge.has(request.requestId)
  }

  /** Longest waiting request. */
  findOldest (): WaitingRequest | undefined {
    return this.#byAge.values().next().value
  }

  /** Adds a request at its organisation's end; O(log organisations). */
  add (waiting: WaitingRequest): void {
    const { requestId, organisation } = waiting.request
    this.#openFlow(organisation).waiting.set(requestId, waiting)
    this.#byAge.set(requestId, waiting)
  }

  /** Removes a request whose caller left or whose deadline passed; O(1). */
  cancel (request: WaitingRequest['request']): boolean {
    if (!this.#byAge.delete(request.requestId)) return false
    this.#flows.get(request.organisation)?.waiting.delete(request.requestId)
    if (this.size === 0) this.#reset()
    return true
  }

  /** Takes the next request; O(log organisations). */
  take (): WaitingRequest | undefined {
    for (let top = this.#heap.take(); top !== undefined; top = this.#heap.take()) {
      const next = this.#takeFrom(top.value)
      if (next !== undefined) return next
    }
    return undefined
  }

  #takeFrom (flow: Flow): WaitingRequest | undefined {
    const next: WaitingRequest | undefined = flow.waiting.values().next().value
    if (next === undefined) {
      this.#flows.delete(flow.organisation)
      return undefined
    }
    flow.waiting.delete(next.request.requestId)
    this.#byAge.delete(next.request.requestId)
    this.#virtualTime = Math.max(this.#virtualTime, flow.startTag)
    flow.startTag += Math.max(1, next.request.tokens) / next.weight
    if (this.size === 0) this.#reset()
    else this.#heap.add(flow.startTag, flow)
    return next
  }

  #openFlow (organisation: OrganisationName): Flow {
    const known = this.#flows.get(organisation)
    if (known !== undefined) return known
    const flow: Flow = { organisation, waiting: new Map(), startTag: this.#virtualTime }
    this.#flows.set(organisation, flow)
    this.#heap.add(flow.startTag, flow)
    return flow
  }

  /** Nothing waits, so no organisation is owed anything. */
  #reset (): void {
    this.#flows.clear()
    this.#heap.clear()
    this.#virtualTime = 0
  }
}
