import { DEFAULT_WAVE_OPTIONS, WaveTask } from 'knapweedshunt-fleet'
import type { Logger } from 'knapweedshunt-logger'
import { DEFAULT_TABLE_FOLLOWER_OPTIONS, TableFollower } from 'knapweedshunt-platform'
import type { Platform, TableFeed, TableUpdate } from 'knapweedshunt-platform'
import { createIncarnation, createRng, runEvery, sleep } from 'knapweedshunt-utils'
import { CallerRequestHandler } from './callers/callerRequestHandler.ts'
import { CallerServer } from './callers/callerServer.ts'
import { closeAuxiliaryServer, startMetricsServer, startReadinessServer } from './callers/auxiliaryServers.ts'
import { ConfigState } from './directory/configState.ts'
import { DirectoryUpdater } from './directory/directoryUpdater.ts'
import { KeyFreshness } from './directory/keyFreshness.ts'
import { Readiness } from './directory/readiness.ts'
import { ROSTER_TABLE } from './directory/rosterRows.ts'
import { SuspectTracker } from './directory/suspectTracker.ts'
import { ROSTER_POLL_WAIT_MS, VmRoster } from './directory/vmRoster.ts'
import { LOSS_REASON } from './endpoints/attemptOutcome.ts'
import { EndpointAgent } from './endpoints/endpointAgent.ts'
import { EndpointRegistry } from './endpoints/endpointRegistry.ts'
import { EndpointChooser } from './endpoints/endpointChooser.ts'
import { KvStoreMonitor } from './endpoints/kvStoreMonitor.ts'
import { EndpointMonitor } from './endpoints/endpointMonitor.ts'
import type { FlowDependencies } from './flow/flowDependencies.ts'
import { RequestPlanner } from './flow/requestPlanner.ts'
import { formatFingerprint } from './flow/formatSuspects.ts'
import { UnansweredAttempts } from './flow/unansweredAttempts.ts'
import type { DirectoryPort } from './ports/directoryPort.ts'
import type { EndpointPort } from './ports/endpointPort.ts'
import type { ManagementPort } from './ports/managementPort.ts'
import type { VmSettings } from './ports/vmSettings.ts'
import { DecisionLog } from './records/decisionLog.ts'
import { GatewayMetrics } from './records/gatewayMetrics.ts'
import { VmRetryBudget } from './shared/vmRetryBudget.ts'
import { WeightsState } from './weights/weightsState.ts'

/** Time for which the store may hold a long poll of the operator's rows, in milliseconds; twice this time is below the age at which keys are no longer used. */
const RESOURCE_POLL_WAIT_MS = 1_500

/** Time for which the store may hold a long poll of the endpoints, in milliseconds. A connection that went silent is noticed only after it, and until then this VM does not learn that an endpoint leaves. */
const ENDPOINT_POLL_WAIT_MS = 1_500

/** Pause after a poll that returned changes of endpoints, in milliseconds; far below the time within which a leaving endpoint must get no new requests. */
const ENDPOINT_POLL_PAUSE_MS = 500

/** Interval of the removal of endpoints that did not return and of the readiness check, in milliseconds. */
const SWEEP_INTERVAL_MS = 250

/** Margin subtracted from the time limit for new weights, in milliseconds. It covers the network and the queue at an endpoint, where a long prompt ahead takes over a second. */
const STALE_WEIGHTS_MARGIN_MS = 1_500

/** Delay after the notice that endpoints load weights until their remaining streams are moved, in milliseconds; most streams end earlier. */
const MOVE_STREAMS_DELAY_MS = 300

/** Time from the stop signal until the callers' load balancers send no new connections, in milliseconds: two failed readiness checks and the network delay. */
const LOAD_BALANCER_NOTICE_MS = 2_600

/** Share of the drain grace time after which requests in flight are cut off. */
const DRAIN_DEADLINE_GRACE_SHARE = 0.93

const DRAIN_POLL_INTERVAL_MS = 50

/** Dependencies of the gateway; the deployment provides the ports. */
export interface GatewayDependencies {
  settings: VmSettings
  platform: Platform
  feed: TableFeed
  directoryPort: DirectoryPort
  endpointPort: EndpointPort
  managementPort: ManagementPort
  log: Logger
}

/** Base URLs of the gateway's servers; `metrics` is null if that server is not configured. */
export interface GatewayAddresses {
  callers: string
  readiness: string
  metrics: string | null
}

/** The complete data path of one VM. */
export class Gateway {
  readonly #dependencies: GatewayDependencies
  #settings: VmSettings
  readonly #incarnation = createIncarnation()
  readonly #rng
  readonly #decisionLog: DecisionLog
  readonly #metrics = new GatewayMetrics()
  readonly #agent = new EndpointAgent()
  readonly #configState = new ConfigState()
  readonly #suspectTracker: SuspectTracker
  readonly #retryBudget: VmRetryBudget
  readonly #endpointRegistry: EndpointRegistry
  readonly #unansweredAttempts: UnansweredAttempts
  readonly #roster: VmRoster
  readonly #weightsState: WeightsState
  readonly #chooser: EndpointChooser
  readonly #endpointMonitor: EndpointMonitor
  readonly #directoryUpdater: DirectoryUpdater
  readonly #kvStoreMonitor: KvStoreMonitor
  readonly #resourceFollower: TableFollower
  readonly #endpointFollower: TableFollower
  readonly #rosterFollower: TableFollower
  readonly #keyFreshness: KeyFreshness
  readonly #requestPlanner: RequestPlanner
  readonly #flowDependencies: FlowDependencies
  readonly #callerServer: CallerServer
  readonly #requestHandler: CallerRequestHandler
  readonly #readiness: Readiness
  /** Ends the tasks once all requests are answered. */
  readonly #taskController = new AbortController()
  #isStopping = false
  #addresses: GatewayAddresses | null = null

  constructor (dependencies: GatewayDependencies) {
    this.#dependencies = dependencies
    this.#settings = dependencies.settings
    const { settings, log, managementPort } = dependencies
    const seed = parseInt(this.#incarnation.slice(0, 8), 16)
    this.#rng = createRng(seed)
    this.#decisionLog = new DecisionLog(log)
    this.#suspectTracker = new SuspectTracker({
      metrics: this.#metrics,
      decisionLog: this.#decisionLog,
      announceMark: mark => this.#roster.announceMark(mark),
      announceParts: () => this.#roster.announceParts()
    })
    this.#endpointRegistry = new EndpointRegistry(decision => this.#decisionLog.record(decision), () => this.#chooser.rebuild(), record => this.#unansweredAttempts.handleIncarnationEnded(record))
    this.#unansweredAttempts = new UnansweredAttempts({
      isCurrent: record => this.#endpointRegistry.find(record.entry.endpoint) === record,
      recordCrash: attempt => this.#suspectTracker.recordCrash(attempt, LOSS_REASON.silent)
    })
    this.#roster = new VmRoster({
      platform: dependencies.platform,
      self: { vm: settings.vm, incarnation: this.#incarnation, dataCentre: settings.dataCentre },
      log,
      signal: this.#taskController.signal,
      onMark: received => this.#suspectTracker.applyMark(received),
      buildPartEvidence: () => this.#suspectTracker.buildPartEvidence(),
      onPartEvidence: received => this.#suspectTracker.applyPartEvidence(received),
      onMarkEvicted: mark => {
        this.#metrics.recordMark('evicted')
        this.#decisionLog.record({ type: 'markEvicted', fingerprint: formatFingerprint(mark.fingerprint), mark: mark.type })
      },
      onUnwritten: (key, reason) => {
        this.#metrics.recordUnwrittenRow()
        this.#decisionLog.record({ type: 'rowUnwritten', key, reason })
      },
      onUnreadable: (key, reason) => this.#decisionLog.record({ type: 'rowUnreadable', table: ROSTER_TABLE, key, reason }),
      onWaveNotice: notice => {
        this.#weightsState.recordServedVersion(notice.reached, notice.model, notice.version)
        setTimeout(() => this.#requestHandler.moveStreamsFrom(this.#weightsState.listLoadingEndpoints()), MOVE_STREAMS_DELAY_MS)
      }
    })
    this.#weightsState = new WeightsState({ getMaxStaleMs: () => this.#settings.maxStaleWeightsMs - STALE_WEIGHTS_MARGIN_MS, holder: settings.vm, endpointRegistry: this.#endpointRegistry, roster: this.#roster, managementPort, recordDecision: decision => this.#decisionLog.record(decision), onServedVersion: () => this.#chooser.rebuild() })
    this.#chooser = new EndpointChooser({
      dataCentre: settings.dataCentre,
      nearDataCentres: settings.nearDataCentres,
      seed,
      endpointRegistry: this.#endpointRegistry,
      listPools: () => this.#configState.config?.pools ?? [],
      findPool: pool => this.#configState.findPool(pool),
      countVms: () => this.#roster.countVms(),
      listLoadingEndpoints: () => this.#weightsState.listLoadingEndpoints(),
      findTargetVersion: model => this.#weightsState.findTargetVersion(model),
      findMinCurrentVersion: model => this.#weightsState.findMinCurrentVersion(model),
      findMinAllowedVersion: model => this.#weightsState.findMinAllowedVersion(model)
    })
    this.#endpointMonitor = new EndpointMonitor({
      managementPort,
      decisionLog: this.#decisionLog,
      findPool: pool => this.#configState.findPool(pool) ?? null,
      isCurrent: record => this.#endpointRegistry.find(record.entry.endpoint) === record
    })
    this.#directoryUpdater = new DirectoryUpdater({
      directoryPort: dependencies.directoryPort,
      configState: this.#configState,
      weightsState: this.#weightsState,
      endpointRegistry: this.#endpointRegistry,
      decisionLog: this.#decisionLog,
      onConfig: config => {
        this.#callerServer.applyLimits(config.limits)
        this.#chooser.rebuild()
      },
      onWeights: () => this.#chooser.rebuild()
    })
    this.#resourceFollower = this.#createFollower(dependencies.directoryPort.resourceTable, RESOURCE_POLL_WAIT_MS, 0, update => this.#directoryUpdater.applyResources(update))
    this.#endpointFollower = this.#createFollower(dependencies.directoryPort.endpointTable, ENDPOINT_POLL_WAIT_MS, ENDPOINT_POLL_PAUSE_MS, update => this.#directoryUpdater.applyEndpoints(update))
    this.#rosterFollower = this.#createFollower(ROSTER_TABLE, ROSTER_POLL_WAIT_MS, 0, update => {
      this.#roster.applyUpdate(update)
      this.#retryBudget.updateShare(this.#settings, this.#roster.countVms())
    })
    this.#keyFreshness = new KeyFreshness(this.#resourceFollower, () => this.#settings.maxRevocationMs)
    this.#requestPlanner = new RequestPlanner({ configState: this.#configState, keyFreshness: this.#keyFreshness, chooser: this.#chooser, findQuarantine: suspects => this.#suspectTracker.findQuarantine(suspects) })
    this.#retryBudget = new VmRetryBudget(settings, this.#roster.countVms())
    this.#kvStoreMonitor = new KvStoreMonitor({
      managementPort,
      log,
      findStore: () => this.#configState.config?.kvStores[0] ?? null
    })
    this.#flowDependencies = this.#buildFlowDependencies()
    this.#requestHandler = new CallerRequestHandler({ requestPlanner: this.#requestPlanner, flowDependencies: this.#flowDependencies })
    this.#callerServer = new CallerServer((request, response) => this.#requestHandler.handleRequest(request, response))
    this.#readiness = new Readiness({ configState: this.#configState, directoryUpdater: this.#directoryUpdater, rosterFollower: this.#rosterFollower, keyFreshness: this.#keyFreshness, decisionLog: this.#decisionLog, isStopping: () => this.#isStopping })
    this.#metrics.addGauge('requests_in_flight', 'Requests under way.', () => this.#requestHandler.inFlight)
    this.#metrics.addGauge('endpoints', 'Endpoints known.', () => this.#endpointRegistry.size)
    this.#metrics.addGauge('endpoints_out', 'Endpoints left out because they do not answer.', () => this.#endpointMonitor.excludedCount)
    this.#metrics.addGauge('endpoints_loading', 'Endpoints that load weights.', () => this.#weightsState.listLoadingEndpoints().size)
    this.#metrics.addGauge('keys_age_seconds', 'Age of the operator\'s rows.', () => Math.min(this.#keyFreshness.ageMs, Number.MAX_SAFE_INTEGER) / 1_000)
    this.#metrics.addGauge('vms', 'VMs that may be running.', () => this.#roster.countVms())
    this.#metrics.addGauge('suspect_requests', 'Requests held as suspect, quarantined or recently cleared.', () => this.#suspectTracker.requestCount)
    this.#metrics.addGauge('part_quarantines', 'Quarantines of prompt parts in force.', () => this.#suspectTracker.partQuarantineCount)
    this.#metrics.addGauge('roster_age_seconds', 'Time since the VM roster and the marks of other VMs were last read.', () => (this.#rosterFollower.ageMs ?? Number.MAX_SAFE_INTEGER) / 1_000)
    this.#metrics.addGauge('ready', 'Whether this VM wants callers.', () => this.isReady ? 1 : 0)
  }

  /** Base URLs of the servers; null before the gateway listens. */
  get addresses (): GatewayAddresses | null {
    return this.#addresses
  }

  /** Whether this VM accepts callers. */
  get isReady (): boolean {
    return this.#readiness.isReady
  }

  /** Applies reloaded settings: limits take effect at once, addresses at the next start. */
  applySettings (settings: VmSettings): void {
    this.#settings = settings
    this.#retryBudget.updateShare(this.#settings, this.#roster.countVms())
    this.#decisionLog.record({ type: 'reloaded', vm: settings.vm })
  }

  /** Runs until the signal aborts, then drains and stops. */
  async run (signal: AbortSignal): Promise<void> {
    const { settings, platform, log } = this.#dependencies
    this.#decisionLog.record({ type: 'started', vm: settings.vm, incarnation: this.#incarnation, dataCentre: settings.dataCentre })
    const readiness = await startReadinessServer(settings.readiness, () => this.isReady)
    const metrics = settings.metrics === null ? null : await startMetricsServer(settings.metrics, this.#metrics)
    const callers = await this.#callerServer.start(settings.callers)
    this.#addresses = { callers, readiness: readiness.url, metrics: metrics?.url ?? null }
    const taskController = this.#taskController
    this.#roster.announceSelf()
    const lease = { ...DEFAULT_WAVE_OPTIONS.lease, maxCommandMs: settings.leaseMs + DEFAULT_WAVE_OPTIONS.lease.guardMs }
    const waveTask = new WaveTask({ vm: settings.vm, incarnation: this.#incarnation, platform, ports: this.#weightsState.buildWavePorts(), log, options: { ...DEFAULT_WAVE_OPTIONS, lease } })
    const runningTasks = [
      this.#resourceFollower.run(taskController.signal),
      this.#endpointFollower.run(taskController.signal),
      this.#rosterFollower.run(taskController.signal),
      this.#endpointMonitor.run(taskController.signal),
      this.#kvStoreMonitor.run(taskController.signal),
      waveTask.run(taskController.signal, () => this.#isStopping),
      runEvery(SWEEP_INTERVAL_MS, taskController.signal, () => {
        this.#endpointRegistry.removeExpired()
        this.#readiness.update()
      })
    ]
    await sleep(2 ** 30, signal)
    await this.#drain()
    this.#requestHandler.stopRequests()
    taskController.abort()
    await Promise.all(runningTasks)
    await this.#roster.removeSelf()
    this.#callerServer.closeAllConnections()
    await closeAuxiliaryServer(readiness)
    await closeAuxiliaryServer(metrics)
    this.#agent.destroy()
    this.#decisionLog.record({ type: 'stopped', vm: settings.vm, inFlight: this.#requestHandler.inFlight })
  }

  /** Reports the VM as not ready at once, but serves requests until the load balancers have switched to other VMs, and then waits until all requests are answered or the grace time has nearly passed. */
  async #drain (): Promise<void> {
    const settings = this.#settings
    const startedAtMs = performance.now()
    this.#isStopping = true
    this.#decisionLog.record({ type: 'stopping', vm: settings.vm, inFlight: this.#requestHandler.inFlight })
    this.#callerServer.disableKeepAlive()
    await sleep(Math.min(LOAD_BALANCER_NOTICE_MS, settings.drainGraceMs / 2))
    this.#requestHandler.refuseNewRequests()
    this.#callerServer.closeListener()
    const drainDeadlineAtMs = startedAtMs + settings.drainGraceMs * DRAIN_DEADLINE_GRACE_SHARE
    for (;;) {
      this.#callerServer.closeIdleConnections()
      if (this.#requestHandler.inFlight === 0 || performance.now() >= drainDeadlineAtMs) return
      await sleep(DRAIN_POLL_INTERVAL_MS)
    }
  }

  #buildFlowDependencies (): FlowDependencies {
    return {
      endpointPort: this.#dependencies.endpointPort,
      agent: this.#agent,
      chooser: this.#chooser,
      endpointMonitor: this.#endpointMonitor,
      kvStoreMonitor: this.#kvStoreMonitor,
      metrics: this.#metrics,
      decisionLog: this.#decisionLog,
      log: this.#dependencies.log,
      tryTakeRetry: (pool, isOptional) => this.#retryBudget.tryTake(pool, isOptional),
      recordSuccess: (plan, status, incarnation) => {
        this.#retryBudget.recordSuccess(plan.pool)
        this.#suspectTracker.recordAnswered(plan, status, incarnation)
      },
      recordCrash: (attempt, evidence) => this.#suspectTracker.recordCrash(attempt, evidence),
      recordUnanswered: attempt => this.#unansweredAttempts.recordEnd(attempt),
      findQuarantine: plan => this.#suspectTracker.findQuarantine(plan),
      ensureKeyConfirmed: async ({ identity, call }) => identity === null || (await this.#keyFreshness.ensureFresh() && call.key !== null && this.#configState.findIdentity(call.key) !== undefined),
      getKeysAgeMs: () => this.#keyFreshness.ageMs,
      randomizeDelayMs: meanMs => Math.round(meanMs * (0.5 + this.#rng.drawFloat()))
    }
  }

  #createFollower (table: string, waitMs: number, coalesceMs: number, onUpdate: (update: TableUpdate) => void): TableFollower {
    return new TableFollower(this.#dependencies.feed, { ...DEFAULT_TABLE_FOLLOWER_OPTIONS, table, waitMs, coalesceMs, seed: this.#rng.drawInt(2 ** 30) }, this.#dependencies.log, onUpdate)
  }
}
