import { setMaxListeners } from 'node:events'
import { getHeapStatistics } from 'node:v8'
import { RunTimes } from 'knapweedshunt-admission'
import { DEFAULT_WAVE_OPTIONS, WaveTask } from 'knapweedshunt-fleet'
import { BodyMemory, createIncarnation, createRng, runEvery, waitForAbort } from 'knapweedshunt-utils'
import { CallerRequestHandler } from './callers/callerRequestHandler.ts'
import { BodyReadAhead } from './callers/bodyReadAhead.ts'
import { BufferCollector } from './callers/bufferCollector.ts'
import { CallerEvictionLog } from './callers/callerEvictionLog.ts'
import { computeCallerBounds, computeInternalBounds } from './callers/callerLimits.ts'
import { CallerMemory, EVICTION_REASON } from './callers/callerMemory.ts'
import { CallerServer } from './callers/callerServer.ts'
import { ProcessLoad } from './callers/processLoad.ts'
import { drainCallers } from './callers/drainCallers.ts'
import { AuxiliaryServers } from './callers/auxiliaryServers.ts'
import type { ServerBounds } from './callers/boundedServer.ts'
import { ConfigState } from './directory/configState.ts'
import { DirectoryUpdater } from './directory/directoryUpdater.ts'
import { computeMaxKeyAgeMs, KeyFreshness } from './directory/keyFreshness.ts'
import { QuarantineLifts } from './directory/quarantineLifts.ts'
import { Readiness } from './directory/readiness.ts'
import { ROSTER_TABLE } from './directory/rosterRows.ts'
import { SuspectTracker } from './directory/suspectTracker.ts'
import { TableFollowers } from './directory/tableFollowers.ts'
import { VmRoster } from './directory/vmRoster.ts'
import { LOSS_REASON } from './endpoints/attemptOutcome.ts'
import type { LossReason } from './endpoints/attemptOutcome.ts'
import { EndpointAgent } from './endpoints/endpointAgent.ts'
import { EndpointLimits } from './endpoints/endpointLimits.ts'
import { EndpointPermits } from './endpoints/endpointPermits.ts'
import { EndpointRegistry } from './endpoints/endpointRegistry.ts'
import type { EndpointRecord } from './endpoints/endpointRecord.ts'
import { EndpointChooser } from './endpoints/endpointChooser.ts'
import { IncarnationChecks } from './endpoints/incarnationChecks.ts'
import { KvStoreMonitor } from './endpoints/kvStoreMonitor.ts'
import { EndpointMonitor } from './endpoints/endpointMonitor.ts'
import { CallerAuthenticator } from './flow/callerAuthenticator.ts'
import type { CrashedAttempt } from './flow/crashedAttempt.ts'
import type { FlowDependencies } from './flow/flowDependencies.ts'
import { EventMemory } from './flow/eventMemory.ts'
import { EventTurns } from './flow/eventTurns.ts'
import { ForwardingTurns } from './flow/forwardingTurns.ts'
import { ForwardedResponses } from './flow/forwardedResponses.ts'
import { PermitQueue } from './flow/permitQueue.ts'
import { PoolOverload } from './flow/poolOverload.ts'
import { PeerClients } from './peers/peerClients.ts'
import { PeerServices } from './peers/peerServices.ts'
import { createUsageLimits } from './limits/createUsageLimits.ts'
import { spreadBursts } from './limits/spreadBursts.ts'
import { UsageGate } from './limits/usageGate.ts'
import type { UsageLimits } from './limits/usageLimits.ts'
import { HELD_UP_TIMES, HELD_UP_WITHIN_MS, MAX_SHARED_AGE_MS, TABLE_POLL_TIMEOUT_MS, TableSharing } from './peers/tableSharing.ts'
import { RequestPlanner } from './flow/requestPlanner.ts'
import { StopWindow } from './flow/stopWindow.ts'
import { UnansweredAttempts } from './flow/unansweredAttempts.ts'
import type { GatewayAddresses, GatewayDependencies } from './gatewayDependencies.ts'
import { REPEATABILITY } from './ports/gatewayConfig.ts'
import type { VmSettings } from './ports/vmSettings.ts'
import { addGauges } from './records/addGauges.ts'
import type { ServerName, StopPhase } from './records/decision.ts'
import { DecisionLog } from './records/decisionLog.ts'
import { DelayWatch } from './records/delayWatch.ts'
import { GatewayMetrics } from './records/gatewayMetrics.ts'
import { UnreadableRowLog } from './records/unreadableRowLog.ts'
import { VmRetryBudget } from './shared/vmRetryBudget.ts'
import { SEND_MARGIN_MS, WeightsState } from './weights/weightsState.ts'

/** Interval of the removal of endpoints that did not return and of the readiness check, in milliseconds. */
const SWEEP_INTERVAL_MS = 250

/** Interval at which one VM removes rows of the roster that nobody needs any more, in milliseconds. */
const ROSTER_SWEEP_INTERVAL_MS = 2_000

/** Share of the drain grace time after which requests in flight are cut off and all connections are closed. */
const DRAIN_DEADLINE_GRACE_SHARE = 0.93

/** Delay after the notice that endpoints load weights until their remaining streams are moved, in milliseconds; most streams end earlier. */
const MOVE_STREAMS_DELAY_MS = 300

/** Margin added to the longest timeout of a resumable route, in milliseconds, for the time that a caller's tries take beyond it. */
const STREAM_RETENTION_MARGIN_MS = 3_000

const BYTES_PER_MB = 1024 * 1024

/** Share of the memory that the JavaScript heap may take; buffers, sockets and the program need the rest. */
const MAX_HEAP_SHARE = 0.6

/** Memory for the responses of endpoints that are buffered. */
const RESPONSE_MEMORY = { maxBytes: 16 * 1024 * 1024, uncountedBytes: 16 * 1024 }

/** Memory for the responses of other VMs until they are parsed; whole tables have room in it. */
const PEER_RESPONSE_MEMORY = { maxBytes: 24 * 1024 * 1024, uncountedBytes: 64 * 1024 }

/** The complete data path of one VM. */
export class Gateway {
  readonly #dependencies: GatewayDependencies
  #settings: VmSettings
  readonly #incarnation = createIncarnation()
  readonly #rng
  readonly #decisionLog: DecisionLog
  readonly #unreadableRowLog: UnreadableRowLog
  readonly #metrics = new GatewayMetrics()
  readonly #agent = new EndpointAgent()
  readonly #configState = new ConfigState()
  readonly #suspectTracker: SuspectTracker
  readonly #retryBudget: VmRetryBudget
  readonly #endpointRegistry: EndpointRegistry
  readonly #unansweredAttempts: UnansweredAttempts
  readonly #roster: VmRoster
  readonly #quarantineLifts: QuarantineLifts
  readonly #endpointLimits: EndpointLimits
  readonly #endpointPermits: EndpointPermits
  readonly #peerServices: PeerServices
  readonly #tableSharing: TableSharing
  readonly #peerResponseMemory = new BodyMemory(PEER_RESPONSE_MEMORY)
  readonly #tableClients = new PeerClients(this.#peerResponseMemory, TABLE_POLL_TIMEOUT_MS)
  readonly #usageLimits: UsageLimits
  readonly #usageGate: UsageGate
  readonly #weightsState: WeightsState
  readonly #chooser: EndpointChooser
  readonly #endpointMonitor: EndpointMonitor
  readonly #directoryUpdater: DirectoryUpdater
  readonly #kvStoreMonitor: KvStoreMonitor
  readonly #followers: TableFollowers
  readonly #keyFreshness: KeyFreshness
  readonly #authenticator: CallerAuthenticator
  readonly #callerMemory: CallerMemory
  readonly #requestPlanner: RequestPlanner
  readonly #flowDependencies: FlowDependencies
  readonly #callerServer: CallerServer
  readonly #requestHandler: CallerRequestHandler
  readonly #responseMemory = new BodyMemory(RESPONSE_MEMORY)
  readonly #forwardedResponses = new ForwardedResponses()
  readonly #runTimes = new RunTimes()
  readonly #stopWindow = new StopWindow(this.#runTimes)
  readonly #poolOverload: PoolOverload
  readonly #readiness: Readiness
  readonly #delayWatch = new DelayWatch(delayMs => this.#decisionLog.record({ type: 'heldUp', delayMs: Math.round(delayMs), inFlight: this.#requestHandler.inFlight }))
  /** Ends the tasks once all requests are answered. */
  readonly #taskController = new AbortController()
  #isStopping = false
  #addresses: GatewayAddresses | null = null

  constructor (dependencies: GatewayDependencies) {
    this.#dependencies = dependencies
    this.#settings = dependencies.settings
    const { settings, log, managementPort } = dependencies
    // Each task, and each VM that is told of streams, listens; their number is bounded by the number of VMs.
    setMaxListeners(0, this.#taskController.signal)
    const seed = parseInt(this.#incarnation.slice(0, 8), 16)
    this.#rng = createRng(seed)
    this.#decisionLog = new DecisionLog(log)
    this.#unreadableRowLog = new UnreadableRowLog(this.#decisionLog)
    const isCurrent = (record: EndpointRecord) => this.#endpointRegistry.find(record.entry.endpoint) === record
    this.#suspectTracker = new SuspectTracker({
      metrics: this.#metrics,
      decisionLog: this.#decisionLog,
      findIncarnation: incarnation => this.#endpointRegistry.findIncarnation(incarnation),
      countEndpoints: () => this.#endpointRegistry.size,
      probe: record => this.#endpointMonitor.probe(record),
      announceMark: mark => this.#roster.announceMark(mark),
      removeMark: fingerprint => this.#roster.removeMark(fingerprint),
      announceParts: () => this.#roster.announceParts()
    })
    this.#endpointRegistry = new EndpointRegistry(decision => this.#decisionLog.record(decision), () => this.#handleEndpointsChanged(), record => {
      this.#unansweredAttempts.handleIncarnationEnded(record)
      this.#endpointPermits.handleIncarnationEnded(record)
    })
    this.#unansweredAttempts = new UnansweredAttempts({ isCurrent, recordCrash: attempt => this.#recordCrash(attempt, LOSS_REASON.silent) })
    this.#roster = new VmRoster({
      platform: dependencies.platform,
      self: { vm: settings.vm, incarnation: this.#incarnation, dataCentre: settings.dataCentre },
      log,
      signal: this.#taskController.signal,
      onMark: received => this.#suspectTracker.applyMark(received),
      buildPartEvidence: () => this.#suspectTracker.buildPartEvidence(),
      onPartEvidence: received => this.#suspectTracker.applyPartEvidence(received),
      onPoolVersions: row => this.#peerServices.streamOrigins.applyPoolVersions(row),
      onLimitReport: received => this.#endpointLimits.applyReport(received),
      onMarkEvicted: mark => this.#suspectTracker.handleMarkEvicted(mark),
      onUnwritten: (key, reason) => this.#recordUnwrittenRow(key, reason),
      onUnreadable: (row, reason) => this.#unreadableRowLog.record(ROSTER_TABLE, row, reason),
      onWaveNotice: notice => {
        this.#weightsState.applyVersionAge(notice)
        this.#weightsState.recordServedVersion(notice.reached, notice.model, notice.version)
        setTimeout(() => this.#requestHandler.moveStreamsFrom(this.#weightsState.listLoadingEndpoints()), MOVE_STREAMS_DELAY_MS)
      }
    })
    this.#quarantineLifts = new QuarantineLifts({
      platform: dependencies.platform,
      isSharedWriter: () => this.#roster.isSharedWriter,
      onLift: received => this.#suspectTracker.applyLift(received),
      onLost: (key, { id }) => this.#decisionLog.record({ type: 'liftLost', key, lift: id }),
      onUnreadable: (key, reason) => this.#decisionLog.record({ type: 'rowUnreadable', table: ROSTER_TABLE, key, reason }),
      onUnwritten: (key, reason) => this.#recordUnwrittenRow(key, reason)
    })
    this.#endpointLimits = new EndpointLimits({
      vm: settings.vm,
      incarnation: this.#incarnation,
      decisionLog: this.#decisionLog,
      metrics: this.#metrics,
      listVms: () => this.#roster.listVms(),
      announceReport: report => this.#roster.announceLimits(report)
    })
    this.#endpointPermits = new EndpointPermits({ endpointLimits: this.#endpointLimits, decisionLog: this.#decisionLog, countVms: () => this.#roster.countVms(), findEndpoint: endpoint => this.#endpointRegistry.find(endpoint), onLeaving: () => this.#chooser.rebuild() })
    this.#peerServices = new PeerServices({
      platform: dependencies.platform,
      responseMemory: this.#peerResponseMemory,
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      incarnation: this.#incarnation,
      endpointRegistry: this.#endpointRegistry,
      roster: this.#roster,
      decisionLog: this.#decisionLog,
      metrics: this.#metrics,
      serverBounds: this.#buildServerBounds('peers', computeInternalBounds(settings).peerConnections),
      signal: this.#taskController.signal,
      randomizeDelayMs: meanMs => this.#randomizeDelayMs(meanMs),
      getStreamRetentionMs: () => this.#computeStreamRetentionMs(),
      getEndpointsAgeMs: () => this.#followers.endpoints.ageMs ?? Infinity,
      countRelayed: () => this.#requestHandler.relayedCount,
      handleRelayed: (request, response, relayed) => this.#requestHandler.handleRelayed(request, response, relayed),
      handleTablePoll: params => this.#tableSharing.handlePoll(params),
      handleUsageExchange: params => this.#usageLimits.handleExchange(params),
      handleUsageCollect: params => this.#usageLimits.handleCollect(params)
    })
    this.#usageLimits = createUsageLimits({ settings, incarnation: this.#incarnation, roster: this.#roster, peerServices: this.#peerServices, decisionLog: this.#decisionLog, metrics: this.#metrics, randomizeDelayMs: meanMs => this.#randomizeDelayMs(meanMs) })
    this.#usageGate = new UsageGate({ usageLimits: this.#usageLimits, decisionLog: this.#decisionLog, metrics: this.#metrics })
    this.#tableSharing = new TableSharing({
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      nearDataCentres: settings.nearDataCentres,
      feed: dependencies.feed,
      decisionLog: this.#decisionLog,
      minVms: settings.minSharingVms,
      rng: this.#rng,
      isHeldUp: () => this.#delayWatch.countLongDelays(HELD_UP_WITHIN_MS) >= HELD_UP_TIMES,
      isEnabled: () => this.#canShareTables,
      listPeers: () => this.#roster.listPeers(),
      call: (view, method, params) => this.#tableClients.call(view, method, params)
    })
    this.#weightsState = new WeightsState({ getMaxStaleMs: () => this.#settings.maxStaleWeightsMs - SEND_MARGIN_MS, holder: settings.vm, endpointRegistry: this.#endpointRegistry, roster: this.#roster, managementPort, tryTakePermit: record => this.#endpointPermits.tryTake(record), recordDecision: decision => this.#decisionLog.record(decision), onServedVersion: () => this.#chooser.rebuild() })
    this.#chooser = new EndpointChooser({
      dataCentre: settings.dataCentre,
      nearDataCentres: settings.nearDataCentres,
      seed,
      endpointRegistry: this.#endpointRegistry,
      listPools: () => this.#configState.config?.pools ?? [],
      findPool: pool => this.#configState.findPool(pool),
      countVms: () => this.#roster.countVms(),
      endpointPermits: this.#endpointPermits,
      listLoadingEndpoints: () => this.#weightsState.listLoadingEndpoints(),
      findTargetVersion: model => this.#weightsState.findTargetVersion(model),
      findMinCurrentVersion: model => this.#weightsState.findMinCurrentVersion(model),
      findMinAllowedVersion: (model, headDelayMs) => this.#weightsState.findMinAllowedVersion(model, headDelayMs),
      findPauseObjectiveMs: pool => this.#configState.findPauseObjectiveMs(pool),
      onDivided: (pool, division) => {
        this.#metrics.recordDivision(pool, division)
        this.#decisionLog.record({ type: 'poolDivided', pool, ...division })
      }
    })
    this.#endpointMonitor = new EndpointMonitor({ managementPort, decisionLog: this.#decisionLog, findPool: pool => this.#configState.findPool(pool) ?? null, listEndpoints: pool => this.#endpointRegistry.list(pool), tryTakePermit: record => this.#endpointPermits.tryTake(record), isCurrent })
    this.#poolOverload = new PoolOverload({ listEndpoints: pool => this.#endpointRegistry.list(pool), findPool: pool => this.#configState.findPool(pool), countVms: () => this.#roster.countVms(), decisionLog: this.#decisionLog, draw: () => this.#rng.drawFloat() })
    this.#directoryUpdater = new DirectoryUpdater({
      directoryPort: dependencies.directoryPort,
      configState: this.#configState,
      weightsState: this.#weightsState,
      endpointRegistry: this.#endpointRegistry,
      decisionLog: this.#decisionLog,
      unreadableRowLog: this.#unreadableRowLog,
      onConfig: config => {
        this.#callerServer.applyLimits(config.limits)
        this.#usageLimits.applyLimits(spreadBursts(config.organisations ?? [], this.#settings.usageWindowMs))
        this.#chooser.rebuild()
      },
      onWeights: () => this.#chooser.rebuild()
    })
    this.#followers = new TableFollowers({
      sharing: this.#tableSharing,
      directoryPort: dependencies.directoryPort,
      log,
      rng: this.#rng,
      onResources: update => this.#directoryUpdater.applyResources(update),
      onEndpoints: update => this.#directoryUpdater.applyEndpoints(update),
      onRoster: update => {
        this.#roster.applyUpdate(update)
        if (update.type === 'rows') this.#peerServices.streamRows.rewrite()
        this.#quarantineLifts.applyUpdate(update)
        this.#retryBudget.updateShare(this.#settings, this.#roster.countVms())
        this.#endpointLimits.update(performance.now())
        this.#usageLimits.applyVms()
      }
    })
    this.#keyFreshness = new KeyFreshness(this.#followers.resources, () => this.#settings.maxRevocationMs)
    this.#authenticator = new CallerAuthenticator(this.#configState, this.#keyFreshness)
    const callerBounds = computeCallerBounds(settings)
    const callerEvictionLog = new CallerEvictionLog('callers', this.#metrics, this.#decisionLog)
    const processLoad = new ProcessLoad()
    const bufferCollector = new BufferCollector(callerBounds.collectedBytes)
    this.#callerMemory = new CallerMemory({
      ...callerBounds,
      isBusy: () => processLoad.isBusy,
      onArrived: bytes => bufferCollector.recordArrived(bytes),
      onEvicted: (reason, bytes) => {
        callerEvictionLog.record(reason, bytes, this.#callerServer.connectionCount)
        bufferCollector.recordEvicted(bytes)
      }
    })
    this.#requestPlanner = new RequestPlanner({ configState: this.#configState, authenticator: this.#authenticator, chooser: this.#chooser, callerMemory: this.#callerMemory, bodyReadAhead: new BodyReadAhead(callerBounds.readAheadBytes), usageGate: this.#usageGate, findQuarantine: suspects => this.#suspectTracker.findQuarantine(suspects) })
    this.#retryBudget = new VmRetryBudget(settings, this.#roster.countVms())
    this.#kvStoreMonitor = new KvStoreMonitor({ managementPort, log, findStore: () => this.#configState.config?.kvStores[0] ?? null })
    this.#flowDependencies = this.#buildFlowDependencies()
    this.#requestHandler = new CallerRequestHandler({ requestPlanner: this.#requestPlanner, flowDependencies: this.#flowDependencies })
    this.#callerServer = new CallerServer((request, response, arrivedAtMs) => this.#requestHandler.handleRequest(request, response, arrivedAtMs), {
      ...callerBounds,
      tryEndStill: () => this.#callerMemory.tryEndStill(EVICTION_REASON.connection),
      onEvicted: reason => callerEvictionLog.record(reason, 0, this.#callerServer.connectionCount),
      onUnaccepted: ({ reason, count, sinceMs }) => {
        this.#metrics.recordUnaccepted(reason, count)
        this.#decisionLog.record({ type: 'requestsUnaccepted', reason, count, waitedMs: Math.round(performance.now() - sinceMs), isStopping: this.#isStopping })
      }
    })
    this.#readiness = new Readiness({ configState: this.#configState, directoryUpdater: this.#directoryUpdater, rosterFollower: this.#followers.roster, keyFreshness: this.#keyFreshness, decisionLog: this.#decisionLog, isStopping: () => this.#isStopping })
    addGauges(this.#metrics, {
      poolOverload: this.#poolOverload,
      requestHandler: this.#requestHandler,
      callerMemory: this.#callerMemory,
      callerServer: this.#callerServer,
      forwardedResponses: this.#forwardedResponses,
      responseMemory: this.#responseMemory,
      agent: this.#agent,
      endpointRegistry: this.#endpointRegistry,
      endpointMonitor: this.#endpointMonitor,
      endpointLimits: this.#endpointLimits,
      endpointPermits: this.#endpointPermits,
      peerServices: this.#peerServices,
      weightsState: this.#weightsState,
      keyFreshness: this.#keyFreshness,
      roster: this.#roster,
      suspectTracker: this.#suspectTracker,
      followers: this.#followers,
      readiness: this.#readiness,
      delayWatch: this.#delayWatch,
      usageLimits: this.#usageLimits
    })
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
    const heapLimitMb = Math.round(getHeapStatistics().heap_size_limit / BYTES_PER_MB)
    this.#decisionLog.record({ type: 'started', vm: settings.vm, incarnation: this.#incarnation, dataCentre: settings.dataCentre, heapLimitMb, memoryMb: settings.memoryMb })
    if (settings.memoryMb !== null && heapLimitMb > settings.memoryMb * MAX_HEAP_SHARE) log.warn('The JavaScript heap may outgrow the memory of the VM.', { heapLimitMb, memoryMb: settings.memoryMb })
    const { checkConnections } = computeInternalBounds(settings)
    const auxiliaryServers = new AuxiliaryServers({
      metrics: this.#metrics,
      readinessBounds: this.#buildServerBounds('readiness', checkConnections),
      metricsBounds: this.#buildServerBounds('metrics', checkConnections),
      isReady: () => this.isReady
    })
    const auxiliaryAddresses = await auxiliaryServers.start(settings.readiness, settings.metrics)
    this.#addresses = { callers: await this.#callerServer.start(settings.callers), ...auxiliaryAddresses }
    const taskController = this.#taskController
    this.#roster.announceSelf(settings.peers === null ? null : await this.#peerServices.start(settings.peers), this.#canShareTables)
    const lease = { ...DEFAULT_WAVE_OPTIONS.lease, maxCommandMs: settings.leaseMs + DEFAULT_WAVE_OPTIONS.lease.guardMs }
    const waveTask = new WaveTask({ vm: settings.vm, incarnation: this.#incarnation, platform, ports: this.#weightsState.buildWavePorts(), log, options: { ...DEFAULT_WAVE_OPTIONS, lease } })
    const runningTasks = [
      this.#followers.run(taskController.signal),
      this.#endpointMonitor.run(taskController.signal),
      this.#kvStoreMonitor.run(taskController.signal),
      this.#peerServices.relays.run(taskController.signal),
      this.#delayWatch.run(taskController.signal),
      this.#peerServices.streamRows.restore(),
      waveTask.run(taskController.signal, { isStopping: () => this.#isStopping, isOutreached: () => this.#peerServices.relays.isOutreached }),
      runEvery(ROSTER_SWEEP_INTERVAL_MS, taskController.signal, () => this.#quarantineLifts.sweep()),
      runEvery(SWEEP_INTERVAL_MS, taskController.signal, () => {
        this.#endpointRegistry.removeExpired()
        this.#requestHandler.cancelOverdue()
        this.#suspectTracker.review(performance.now() - (this.#followers.endpoints.ageMs ?? Infinity))
        this.#readiness.update()
        this.#peerServices.streamOrigins.updateVersions()
        this.#peerServices.streamRows.update()
        this.#endpointLimits.update(performance.now() - (this.#followers.roster.ageMs ?? Infinity))
      })
    ]
    await waitForAbort(signal)
    this.#isStopping = true
    this.#decisionLog.record({ type: 'stopping', vm: this.#settings.vm, inFlight: this.#requestHandler.inFlight })
    const stoppedAtMs = performance.now()
    const recordPhase = (phase: StopPhase) => this.#decisionLog.record({ type: 'stopPhase', phase, sinceStopMs: Math.round(performance.now() - stoppedAtMs), inFlight: this.#requestHandler.inFlight, connections: this.#callerServer.connectionCount })
    const { drainGraceMs } = this.#settings
    const deadline = new AbortController()
    this.#stopWindow.setEnd(stoppedAtMs + drainGraceMs * DRAIN_DEADLINE_GRACE_SHARE)
    setTimeout(() => deadline.abort(), drainGraceMs * DRAIN_DEADLINE_GRACE_SHARE).unref()
    await drainCallers({ callerServer: this.#callerServer, requestHandler: this.#requestHandler, drainGraceMs, deadline: deadline.signal, recordPhase })
    taskController.abort()
    await Promise.all(runningTasks)
    recordPhase('tasksEnded')
    await this.#roster.removeSelf()
    recordPhase('rowRemoved')
    this.#callerServer.closeAllConnections()
    recordPhase('callersClosed')
    await auxiliaryServers.close(deadline.signal)
    await this.#peerServices.close(deadline.signal)
    recordPhase('serversClosed')
    this.#tableClients.close()
    this.#agent.destroy()
    this.#decisionLog.record({ type: 'stopped', vm: settings.vm, inFlight: this.#requestHandler.inFlight })
  }

  #buildServerBounds (server: ServerName, maxConnections: number): ServerBounds {
    const evictionLog = new CallerEvictionLog(server, this.#metrics, this.#decisionLog)
    return { maxConnections, onEvicted: (reason, connectionCount) => evictionLog.record(reason, 0, connectionCount) }
  }

  #buildFlowDependencies (): FlowDependencies {
    return {
      vm: this.#settings.vm,
      endpointPort: this.#dependencies.endpointPort,
      agent: this.#agent,
      chooser: this.#chooser,
      endpointMonitor: this.#endpointMonitor,
      incarnationChecks: new IncarnationChecks({ managementPort: this.#dependencies.managementPort, decisionLog: this.#decisionLog, getEndpointsAgeMs: () => this.#followers.endpoints.ageMs ?? Infinity, tryTakePermit: record => this.#endpointPermits.tryTake(record) }),
      kvStoreMonitor: this.#kvStoreMonitor,
      endpointLimits: this.#endpointLimits,
      endpointPermits: this.#endpointPermits,
      permitQueue: new PermitQueue(),
      yieldPlace: pool => { this.#callerMemory.tryEndStill(EVICTION_REASON.place, share => share.pool === pool) },
      eventMemory: new EventMemory(),
      responseMemory: this.#responseMemory,
      eventTurns: new EventTurns(),
      forwardingTurns: new ForwardingTurns(),
      forwardedResponses: this.#forwardedResponses,
      streamOrigins: this.#peerServices.streamOrigins,
      relays: this.#peerServices.relays,
      runTimes: this.#runTimes,
      stopWindow: this.#stopWindow,
      poolOverload: this.#poolOverload,
      metrics: this.#metrics,
      decisionLog: this.#decisionLog,
      log: this.#dependencies.log,
      tryTakeRetry: (pool, isOptional) => this.#retryBudget.tryTake(pool, isOptional),
      recordSuccess: (plan, record, startedAtMs, status) => {
        this.#retryBudget.recordSuccess(plan.pool)
        this.#suspectTracker.recordAnswered(plan, record, startedAtMs, status)
      },
      recordCrash: (attempt, evidence) => this.#recordCrash(attempt, evidence),
      recordSent: plan => this.#suspectTracker.recordSent(plan),
      recordReceived: (record, openedAtMs) => this.#suspectTracker.recordReceived(record, openedAtMs),
      recordUnanswered: attempt => this.#unansweredAttempts.recordEnd(attempt),
      findQuarantine: plan => this.#suspectTracker.findQuarantine(plan),
      canBeginOn: (model, version) => version >= this.#weightsState.findMinBeginVersion(model),
      findReplacement: (model, version) => this.#weightsState.findReplacement(model, version),
      checkKey: plan => this.#authenticator.check(plan),
      isKeyUsable: plan => this.#authenticator.isUsable(plan),
      getKeysAgeMs: () => this.#keyFreshness.ageMs,
      putBackUsage: ({ identity, takenUsage }) => { if (identity !== null && takenUsage !== null) this.#usageGate.putBack(identity.organisation, takenUsage) },
      randomizeDelayMs: meanMs => this.#randomizeDelayMs(meanMs)
    }
  }

  /** Keys must be confirmed within their bound also through another VM. */
  get #canShareTables (): boolean {
    return this.#settings.minSharingVms > 0 && MAX_SHARED_AGE_MS <= computeMaxKeyAgeMs(this.#settings.maxRevocationMs)
  }

  #randomizeDelayMs (meanMs: number): number {
    return Math.round(meanMs * (0.5 + this.#rng.drawFloat()))
  }

  /** A brittle endpoint that had to reject requests has ended under these, not under the ones that it ran. */
  #recordCrash (attempt: CrashedAttempt, evidence: LossReason): void {
    if (!this.#endpointPermits.isEndDoubtful(attempt.record)) return this.#suspectTracker.recordCrash(attempt, evidence)
    const { endpoint, incarnation } = attempt.record.entry
    this.#decisionLog.record({ type: 'crashDoubted', requestId: attempt.requestId, endpoint, incarnation, evidence })
  }

  #handleEndpointsChanged (): void {
    this.#chooser.rebuild()
    this.#peerServices.streamOrigins.updateVersions()
  }

  /** A caller takes up a stream again within the time that it waits in all. */
  #computeStreamRetentionMs (): number {
    const timeoutsMs = this.#configState.config?.routes.filter(route => route.repeatability === REPEATABILITY.resumed).map(route => route.timeoutMs) ?? []
    return Math.max(0, ...timeoutsMs) + STREAM_RETENTION_MARGIN_MS
  }

  #recordUnwrittenRow (key: string, reason: string): void {
    this.#metrics.recordUnwrittenRow()
    this.#decisionLog.record({ type: 'rowUnwritten', key, reason })
  }
}
