import { isDeepStrictEqual } from 'node:util'
import type { EndpointName, EndpointSpec, EndpointView, FencingNumber } from 'knapweedshunt-types'
import type { EndpointOrder } from './endpointOrder.ts'
import type { FleetPorts } from './fleetPorts.ts'

interface SentOrder {
  order: EndpointOrder
  sentAtMs: number
  /** Null while the order is on its way. */
  answeredAtMs: number | null
  isLost: boolean
}

/** Sends at most one order at a time to each endpoint. */
export class OrderDesk {
  readonly #ports: FleetPorts
  readonly #longestOrderMs: number
  readonly #sent = new Map<EndpointName, SentOrder>()

  constructor (ports: FleetPorts, longestOrderMs: number) {
    this.#ports = ports
    this.#longestOrderMs = longestOrderMs
  }

  /** Orders on their way. */
  get inFlight (): number {
    return [...this.#sent.values()].filter(sent => sent.answeredAtMs === null).length
  }

  /** Whether an order is on its way, or the view is older than the last answer. */
  isBusy (endpoint: EndpointName, view: EndpointView | null): boolean {
    const sent = this.#sent.get(endpoint)
    if (sent === undefined) return false
    if (sent.answeredAtMs === null) return true
    return view !== null && performance.now() - view.loadAgeMs <= sent.answeredAtMs
  }

  /** Sends an order under the number that `readFencing` gives at this moment; without one nothing is sent. */
  async send (order: EndpointOrder, spec: EndpointSpec, readFencing: (checksFencing: boolean) => FencingNumber | null): Promise<void> {
    if (this.#mustWait(order)) return
    const fencing = readFencing(spec.checksFencing)
    if (fencing === null) return
    const sent: SentOrder = { order, sentAtMs: performance.now(), answeredAtMs: null, isLost: false }
    this.#sent.set(order.endpoint, sent)
    const result = await this.#ports.sendOrder({ order, spec, fencing, timeoutMs: this.#longestOrderMs })
    sent.answeredAtMs = performance.now()
    sent.isLost = result === 'lost'
    if (result !== 'taken') this.#ports.log.warn('Order not taken.', { endpoint: order.endpoint, type: order.type, result })
  }

  /** A lost order may still run: another one waits until it cannot. */
  #mustWait (order: EndpointOrder): boolean {
    const sent = this.#sent.get(order.endpoint)
    if (sent === undefined) return false
    if (sent.answeredAtMs === null) return true
    const mayRun = sent.isLost && performance.now() < sent.sentAtMs + this.#longestOrderMs
    return mayRun && !isDeepStrictEqual(sent.order, order)
  }
}
