import http from 'node:http'
import { RetryBudget } from 'knapweedshunt-attempts'
import type { Logger } from 'knapweedshunt-logger'
import { Placement } from 'knapweedshunt-placement'
import type { RouterSnapshot } from 'knapweedshunt-types'
import { createIncarnation, createRng } from 'knapweedshunt-utils'
import { AdmissionGate } from './admissionGate.ts'
import type { StallLimits } from './attemptCall.ts'
import { HTTP_ENDPOINT_CLIENT } from './endpointClient.ts'
import type { EndpointClient } from './endpointClient.ts'
import { EndpointObserver } from './endpointObserver.ts'
import { EndpointTable } from './endpointTable.ts'
import { Figures } from './figures.ts'
import { HedgeDelays } from './hedgeDelays.ts'
import type { RouterOrders } from './orders/routerOrders.ts'
import { PeerExchange } from './peerExchange.ts'
import { ResourceIndex } from './resourceIndex.ts'
import type { RouterOptions } from './routerOptions.ts'
import { RunningAttempts } from './runningAttempts.ts'
import { parseSnapshot, parseViews } from './snapshotSchema.ts'
import { SuspectGuard } from './suspectGuard.ts'

const MAX_SEED = 2 ** 31 - 1
const SEED_HEX_DIGITS = 7

/** Parts of the data path that all requests of one router share. */
export class DataPath {
  readonly placement: Placement
  readonly gate: AdmissionGate
  readonly figures: Figures
  readonly agent = new http.Agent({ keepAlive: true })
  readonly orders: RouterOrders
  readonly log: Logger
  readonly client: EndpointClient
  readonly budget = new RetryBudget()
  readonly hedges = new HedgeDelays()
  readonly running = new RunningAttempts()
  readonly suspects: SuspectGuard
  readonly peers: PeerExchange
  readonly observer: EndpointObserver
  readonly stall: StallLimits
  readonly #rng = createRng(parseInt(createIncarnation().slice(0, SEED_HEX_DIGITS), 16))
  #index: ResourceIndex | null = null
  #snapshot: RouterSnapshot | null = null
  #endpoints = new EndpointTable(null)

  constructor (options: RouterOptions, orders: RouterOrders, log: Logger, client: EndpointClient = HTTP_ENDPOINT_CLIENT) {
    const { vm, dataCentre, nearDataCentres, prefillTokensPerS, peerKey, endpointWindow } = options
    this.placement = new Placement(dataCentre, { seed: this.drawSeed(), nearDataCentres, prefillTokensPerS })
    this.gate = new AdmissionGate({ vm, seed: this.drawSeed(), endpointWindow })
    this.figures = new Figures(options.statsdHost, options.statsdPort)
    this.orders = orders
    this.log = log
    this.client = client
    this.stall = { firstTokenMs: options.firstTokenTimeoutMs, betweenTokensMs: options.tokenTimeoutMs }
    this.suspects = new SuspectGuard(mark => this.peers.announce(mark))
    this.observer = new EndpointObserver(vm, peerKey)
    this.peers = new PeerExchange({ vm, dataCentre, peerKey, placement: this.placement, gate: this.gate, registry: this.suspects.registry, log })
  }

  /** Resources in use, null before the first snapshot. */
  get index (): ResourceIndex | null {
    return this.#index
  }

  /** Last snapshot, null before the first. */
  get snapshot (): RouterSnapshot | null {
    return this.#snapshot
  }

  /** Endpoints of the last snapshot. */
  get endpoints (): EndpointTable {
    return this.#endpoints
  }

  /** Draws a seed for the jitter of one part. */
  drawSeed (): number {
    return this.#rng.int(MAX_SEED)
  }

  /** Takes a snapshot of control; an older revision than the one in use is refused, and so is one without resources. Returns the revision in use. Throws ZodError on wrong params. */
  takeSnapshot (params: unknown): number {
    return this.#applySnapshot(parseSnapshot(params, this.#snapshot))
  }

  /** Takes views that go with the resources in use; others change nothing. Returns the revision in use. Throws ZodError on wrong params. */
  takeViews (params: unknown): number {
    const { revision, ...views } = parseViews(params)
    if (this.#snapshot === null || this.#index?.revision !== revision) return this.#index?.revision ?? 0
    return this.#applySnapshot({ resources: this.#snapshot.resources, ...views })
  }

  #applySnapshot (snapshot: RouterSnapshot): number {
    const present = this.#index?.revision ?? 0
    const { revision } = snapshot.resources
    if (revision === 0 || revision < present) return present
    if (this.#index === null || revision > present) this.#index = new ResourceIndex(snapshot.resources)
    this.#snapshot = snapshot
    const last = this.#endpoints
    this.#endpoints = new EndpointTable(snapshot)
    this.peers.takeVms(snapshot.vms)
    this.observer.takeVms(snapshot.vms)
    this.placement.handleEvent({ type: 'snapshot', snapshot })
    this.gate.takeSnapshot(snapshot, this.#endpoints, this.peers.silentMs)
    this.orders.takeSnapshot(snapshot)
    this.running.takeTable(this.#endpoints, last)
    return revision
  }

  /** Frees sockets. */
  async close (): Promise<void> {
    this.gate.close()
    await this.peers.close()
    this.observer.close()
    this.agent.destroy()
    await this.figures.close()
  }
}
