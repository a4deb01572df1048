import http from 'node:http'
import type { Logger } from 'knapweedshunt-logger'
import { Placement } from 'knapweedshunt-placement'
import type { RouterSnapshot } from 'knapweedshunt-types'
import { AdmissionGate } from './admissionGate.ts'
import { Figures } from './figures.ts'
import type { RouterOrders } from './orders/routerOrders.ts'
import { ResourceIndex } from './resourceIndex.ts'
import type { RouterOptions } from './routerOptions.ts'

/** Parts of the data path that all requests of one router share. */
export class DataPath {
  readonly placement: Placement
  readonly gate: AdmissionGate
  readonly figures: Figures
  readonly agent = new http.Agent({ keepAlive: true })
  readonly orders: RouterOrders
  readonly log: Logger
  #index: ResourceIndex | null = null

  constructor (options: RouterOptions, orders: RouterOrders, log: Logger) {
    this.placement = new Placement(options.dataCentre)
    this.gate = new AdmissionGate(options.endpointWindow)
    this.figures = new Figures(options.statsdHost, options.statsdPort)
    this.orders = orders
    this.log = log
  }

  /** Resources in use, null before the first snapshot. */
  get index (): ResourceIndex | null {
    return this.#index
  }

  /** Takes a snapshot of control; an older revision than the one in use is refused. Returns the revision in use. */
  takeSnapshot (snapshot: RouterSnapshot): number {
    const present = this.#index?.revision ?? 0
    if (snapshot.resources.revision < present) return present
    if (this.#index === null || snapshot.resources.revision > present) this.#index = new ResourceIndex(snapshot.resources)
    this.placement.take({ type: 'snapshot', snapshot })
    this.gate.takeSnapshot(snapshot)
    this.orders.takeSnapshot(snapshot)
    return snapshot.resources.revision
  }

  /** Frees sockets. */
  async close (): Promise<void> {
    this.agent.destroy()
    await this.figures.close()
  }
}
