import { RetryBudget } from 'knapweedshunt-attempts'
import type { Logger } from 'knapweedshunt-logger'
import { Placement } from 'knapweedshunt-placement'
import type { RouterSnapshot, VmId } from 'knapweedshunt-types'
import { EndpointRelays } from 'knapweedshunt-membership'
import { BodyMemory, createIncarnation, createRng, ResponseAgent } from 'knapweedshunt-utils'
import { AdmissionController } from './admissionController.ts'
import type { StallLimits } from './attemptCall.ts'
import { HTTP_ENDPOINT_CLIENT } from './endpointClient.ts'
import type { EndpointClient } from './endpointClient.ts'
import { EndpointLimiter } from './endpointLimiter.ts'
import { EndpointOutcomeReporter } from './endpointOutcomeReporter.ts'
import { EndpointReach } from './endpointReach.ts'
import { EndpointTable } from './endpointTable.ts'
import { RouterMetrics } from './routerMetrics.ts'
import { HedgeDelays } from './hedgeDelays.ts'
import type { RouterOrders } from './orders/routerOrders.ts'
import { PeerExchange } from './peerExchange.ts'
import { probeEndpoints } from './probeEndpoints.ts'
import type { RelayTarget } from './relays/relayTarget.ts'
import { ResourceIndex } from './resourceIndex.ts'
import type { RouterOptions } from './routerOptions.ts'
import { RunningAttempts } from './runningAttempts.ts'
import { parseSnapshot, parseViews } from './snapshotSchema.ts'
import { SoftwareVersions } from './softwareVersions.ts'
import { SuspectGuard } from './suspectGuard.ts'

/** Memory for responses that are kept until they are complete, or until their callers have read them; a small VM has 178 MB, of which the process takes a quarter. */
const RESPONSE_MEMORY = { maxBytes: 24 * 1024 * 1024, uncountedBytes: 64 * 1024 }

const MAX_SEED = 2 ** 31 - 1
const SEED_HEX_DIGITS = 7

/** State and components that all requests of one router share. */
export class DataPath {
  readonly placement: Placement
  readonly admission: AdmissionController
  readonly metrics: RouterMetrics
  readonly agent = new ResponseAgent({ keepAlive: true })
  readonly orders: RouterOrders
  readonly log: Logger
  readonly endpointClient: EndpointClient
  readonly retryBudget = new RetryBudget()
  readonly hedgeDelays = new HedgeDelays()
  readonly runningAttempts = new RunningAttempts()
  readonly suspectGuard: SuspectGuard
  readonly endpointLimiter: EndpointLimiter
  readonly peerExchange: PeerExchange
  readonly outcomeReporter: EndpointOutcomeReporter
  /** Name of this VM. */
  readonly vm: VmId
  readonly endpointReach = new EndpointReach()
  readonly responseMemory = new BodyMemory(RESPONSE_MEMORY)
  readonly relays: EndpointRelays<RelayTarget>
  readonly stallLimits: StallLimits
  readonly softwareVersions = new SoftwareVersions()
  /** Shared key of the processes of the system. */
  readonly peerKey: string
  readonly #rng = createRng(parseInt(createIncarnation().slice(0, SEED_HEX_DIGITS), 16))
  #resourceIndex: ResourceIndex | null = null
  #snapshot: RouterSnapshot | null = null
  readonly #stopping = new AbortController()
  readonly #tasks: Promise<unknown>
  #relayedCount = 0
  #endpoints = new EndpointTable(null)

  constructor (options: RouterOptions, orders: RouterOrders, log: Logger, client: EndpointClient = HTTP_ENDPOINT_CLIENT) {
    const { vm, dataCentre, nearDataCentres, prefillTokensPerS, peerKey, endpointWindow } = options
    this.vm = vm
    this.peerKey = peerKey
    this.placement = new Placement(dataCentre, { seed: this.drawSeed(), nearDataCentres, prefillTokensPerS })
    this.admission = new AdmissionController({ vm, seed: this.drawSeed(), endpointWindow })
    this.metrics = new RouterMetrics(options.statsdHost, options.statsdPort)
    this.orders = orders
    this.log = log
    this.endpointClient = client
    this.stallLimits = { firstTokenMs: options.firstTokenTimeoutMs, betweenTokensMs: options.tokenTimeoutMs }
    this.suspectGuard = new SuspectGuard({ broadcastMark: mark => this.peerExchange.broadcastMark(mark), broadcastParts: () => this.peerExchange.broadcastParts() })
    const incarnation = createIncarnation()
    this.endpointLimiter = new EndpointLimiter({ vm, incarnation, log, countInFlight: endpoint => this.runningAttempts.countOn(endpoint), broadcastReport: report => this.peerExchange.broadcastLimits(report) })
    this.outcomeReporter = new EndpointOutcomeReporter(vm, peerKey)
    this.peerExchange = new PeerExchange({ vm, incarnation, dataCentre, peerKey, placement: this.placement, admission: this.admission, registry: this.suspectGuard.registry, partDetector: this.suspectGuard.partDetector, endpointLimiter: this.endpointLimiter, softwareVersions: this.softwareVersions, log })
    this.relays = new EndpointRelays({
      dataCentre,
      listReaches: () => this.endpointReach.listReaches(),
      computeReach: pool => this.endpointReach.computeReach(pool),
      listPeers: () => this.peerExchange.listRelayTargets(),
      askReach: ({ vm }) => this.peerExchange.askReach(vm),
      countRelayed: () => this.#relayedCount,
      onFailed: (vm, reason) => log.debug('Another router failed a relayed request, or does not say what it reaches.', { peer: vm, reason })
    })
    this.#tasks = Promise.all([this.relays.run(this.#stopping.signal), probeEndpoints(this.endpointReach, this.#stopping.signal)])
  }

  /** Index of the current resources; null before the first snapshot. */
  get resourceIndex (): ResourceIndex | null {
    return this.#resourceIndex
  }

  /** Latest snapshot; null before the first. */
  get snapshot (): RouterSnapshot | null {
    return this.#snapshot
  }

  /** Endpoints of the latest snapshot. */
  get endpoints (): EndpointTable {
    return this.#endpoints
  }

  /** Returns a random seed for the jitter of one component. */
  drawSeed (): number {
    return this.#rng.drawInt(MAX_SEED)
  }

  /** Applies a snapshot from control. A snapshot with an older revision than the current one, or without resources, is ignored. Returns the current revision. Throws ZodError on invalid params. */
  applySnapshot (params: unknown): number {
    return this.#applySnapshot(parseSnapshot(params, this.#snapshot))
  }

  /** Applies views that match the revision of the current resources; others are ignored. Returns the current revision. Throws ZodError on invalid params. */
  applyViews (params: unknown): number {
    const { revision, ...views } = parseViews(params)
    if (this.#snapshot === null || this.#resourceIndex?.revision !== revision) return this.#resourceIndex?.revision ?? 0
    return this.#applySnapshot({ resources: this.#snapshot.resources, ...views })
  }

  #applySnapshot (snapshot: RouterSnapshot): number {
    const currentRevision = this.#resourceIndex?.revision ?? 0
    const { revision } = snapshot.resources
    if (revision === 0 || revision < currentRevision) return currentRevision
    if (this.#resourceIndex === null || revision > currentRevision) this.#resourceIndex = new ResourceIndex(snapshot.resources)
    this.#snapshot = snapshot
    const previousEndpoints = this.#endpoints
    this.#endpoints = new EndpointTable(snapshot)
    this.peerExchange.applyVms(snapshot.vms)
    this.endpointLimiter.applyVms(snapshot.vms)
    this.endpointLimiter.applyEndpoints(this.#endpoints.list())
    this.endpointReach.applyEndpoints(this.#endpoints.list())
    this.softwareVersions.applyEndpoints(this.#endpoints.list())
    this.outcomeReporter.applyVms(snapshot.vms)
    this.placement.handleEvent({ type: 'snapshot', snapshot })
    this.admission.applySnapshot(snapshot, this.#endpoints, this.peerExchange.peerTimeoutMs)
    this.orders.applySnapshot(snapshot)
    this.runningAttempts.applyTable(this.#endpoints, previousEndpoints)
    const clearedCount = this.suspectGuard.applyReports(snapshot.endpoints)
    if (clearedCount > 0) this.log.info('Requests cleared, as the endpoints that they were lost with have lived on.', { requests: clearedCount })
    return revision
  }

  /** Counts a request of another router until it has ended. */
  async trackRelayed (serving: Promise<void>): Promise<void> {
    this.#relayedCount++
    try {
      await serving
    } finally {
      this.#relayedCount--
    }
  }

  /** Stops timers and closes all connections. */
  async close (): Promise<void> {
    this.#stopping.abort()
    await this.#tasks
    this.admission.close()
    await this.peerExchange.close()
    this.outcomeReporter.close()
    this.agent.destroy()
    await this.metrics.close()
  }
}
