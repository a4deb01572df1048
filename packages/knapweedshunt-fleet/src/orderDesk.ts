import { isDeepStrictEqual } from 'node:util'
import type { EndpointName, EndpointSpec, EndpointView, FencingNumber, Incarnation } from 'knapweedshunt-types'
import type { EndpointOrder } from './endpointOrder.ts'
import type { FleetPorts } from './fleetPorts.ts'
import type { WeightsTarget } from './weightsTarget.ts'

type WeightsOrder = Extract<EndpointOrder, { type: 'weights' }>

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
  readonly #confirmed = new Map<EndpointName, WeightsOrder>()

  constructor (ports: FleetPorts, longestOrderMs: number) {
    this.#ports = ports
    this.#longestOrderMs = longestOrderMs
  }

  /** Orders on their way. */
  get inFlight (): number {
    return [...this.#sent.values()].filter(sent => sent.answeredAtMs === null).length
  }

  /** Forgets what was confirmed, as another holder may have given orders since. */
  clearConfirmed (): void {
    this.#confirmed.clear()
  }

  /** Whether an order is on its way, or the view may be older than the last answer; `lagMs` is how much older it may be than its age says. */
  isBusy (endpoint: EndpointName, view: EndpointView | null, lagMs: number): boolean {
    const sent = this.#sent.get(endpoint)
    if (sent === undefined) return false
    if (sent.answeredAtMs === null) return true
    return view !== null && performance.now() - view.loadAgeMs <= sent.answeredAtMs + lagMs
  }

  /** Weights of the last order taken by an incarnation, null when none is known or another one was sent since. */
  readConfirmed (endpoint: EndpointName, incarnation: Incarnation): WeightsTarget | null {
    const confirmed = this.#confirmed.get(endpoint)
    return confirmed?.incarnation === incarnation ? confirmed.weights : null
  }

  /** Sends an order under the number that `readFencing` gives at this moment; without one nothing is sent. */
  async send (order: EndpointOrder, spec: EndpointSpec, readFencing: (checksFencing: boolean) => FencingNumber | null): Promise<void> {
    if (this.#mustWait(order)) return
    const fencing = readFencing(spec.checksFencing)
    if (fencing === null) return
    const sent: SentOrder = { order, sentAtMs: performance.now(), answeredAtMs: null, isLost: false }
    this.#sent.set(order.endpoint, sent)
    if (order.type === 'weights') this.#confirmed.delete(order.endpoint)
    const result = await this.#ports.sendOrder({ order, spec, fencing, timeoutMs: this.#longestOrderMs })
    sent.answeredAtMs = performance.now()
    sent.isLost = result === 'lost'
    if (result === 'taken' && order.type === 'weights') this.#confirmed.set(order.endpoint, order)
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
