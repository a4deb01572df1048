import { SuspectRegistry } from 'knapweedshunt-attempts'
import type { SuspectMark } from 'knapweedshunt-attempts'
import { DEFAULT_WAVE_OPTIONS, WaveTask } from 'knapweedshunt-fleet'
import type { Logger } from 'knapweedshunt-logger'
import { DEFAULT_FOLLOWER_OPTIONS, TableFollower } from 'knapweedshunt-platform'
import type { Platform, TableFeed, TableNews } from 'knapweedshunt-platform'
import { createIncarnation, createRng, runEvery, sleep } from 'knapweedshunt-utils'
import { CallerDesk } from './callers/callerDesk.ts'
import { CallerServer } from './callers/callerServer.ts'
import { closeSideServer, startMetricsServer, startReadinessServer } from './callers/sideServers.ts'
import { ConfigState } from './directory/configState.ts'
import { DirectoryIntake } from './directory/directoryIntake.ts'
import { KeyFreshness } from './directory/keyFreshness.ts'
import { Readiness } from './directory/readiness.ts'
import { ROSTER_TABLE, VmRoster } from './directory/vmRoster.ts'
import { EndpointAgent } from './endpoints/endpointAgent.ts'
import { EndpointBook } from './endpoints/endpointBook.ts'
import { EndpointChooser } from './endpoints/endpointChooser.ts'
import type { EndpointRecord } from './endpoints/endpointRecord.ts'
import { KeptPrefixes } from './endpoints/keptPrefixes.ts'
import { EndpointWatch } from './endpoints/endpointWatch.ts'
import type { FlowParts } from './flow/flowParts.ts'
import { RequestGate } from './flow/requestGate.ts'
import type { DirectoryPort } from './ports/directoryPort.ts'
import type { EndpointPort } from './ports/endpointPort.ts'
import type { ManagementPort } from './ports/managementPort.ts'
import type { VmSettings } from './ports/vmSettings.ts'
import { DecisionLog } from './records/decisionLog.ts'
import { Figures } from './records/figures.ts'
import { SharedBudget } from './shared/sharedBudget.ts'
import { WeightsState } from './weights/weightsState.ts'

/** How long the store holds a poll of the operator's rows, in milliseconds: twice that is below the age at which keys are no longer used. */
const RESOURCE_WAIT_MS = 1_500

/** The same for endpoints and for what VMs tell each other. */
const ENDPOINT_WAIT_MS = 5_000
const ROSTER_WAIT_MS = 10_000

/** Rest between two reads of endpoints that change, in milliseconds; far below the time in which a leaving endpoint must get nothing new. */
const ENDPOINT_REST_MS = 500

/** Time between two looks for endpoints that did not come back, and at readiness, in milliseconds. */
const SWEEP_MS = 250

/** Part of the time for new weights that is kept for the way and the queue at an endpoint, in milliseconds; a long prompt ahead takes over a second. */
const STALE_MARGIN_MS = 1_500

/** Time after a notice of loading weights after which streams that still run leave the endpoint, in milliseconds; most end before. */
const LEAVE_LOADING_MS = 300

/** Crashes after which a request is refused; one that was running by chance is seldom there three times. */
const MAX_CRASHES = 3

const SUSPECT_OPTIONS = { maxCrashes: MAX_CRASHES, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10_000 }

/** Time from the stop signal until callers' balancers have stopped sending new connections, in milliseconds: two missed questions and the way. */
const LEAVE_MS = 2_600

/** Share of the time for an orderly stop after which requests under way are cut. */
const GRACE_SHARE = 0.93

const DRAIN_LOOK_MS = 50

/** What a gateway is made of; the ports are the deployment's. */
export interface GatewayParts {
  settings: VmSettings
  platform: Platform
  feed: TableFeed
  directory: DirectoryPort
  endpointPort: EndpointPort
  management: ManagementPort
  log: Logger
}

/** Where a gateway listens. */
export interface GatewayAddresses {
  callers: string
  readiness: string
  metrics: string | null
}

/** The whole data path of one VM. */
export class Gateway {
  readonly #parts: GatewayParts
  #settings: VmSettings
  readonly #incarnation = createIncarnation()
  readonly #rng
  readonly #decisions: DecisionLog
  readonly #figures = new Figures()
  readonly #agent = new EndpointAgent()
  readonly #config = new ConfigState()
  readonly #suspects = new SuspectRegistry(SUSPECT_OPTIONS)
  readonly #budget: SharedBudget
  readonly #book: EndpointBook
  readonly #roster: VmRoster
  readonly #weights: WeightsState
  readonly #chooser: EndpointChooser
  readonly #watch: EndpointWatch
  readonly #intake: DirectoryIntake
  readonly #kept: KeptPrefixes
  readonly #resources: TableFollower
  readonly #endpoints: TableFollower
  readonly #rosterFollower: TableFollower
  readonly #keys: KeyFreshness
  readonly #gate: RequestGate
  readonly #flow: FlowParts
  readonly #server: CallerServer
  readonly #desk: CallerDesk
  readonly #readiness: Readiness
  #isStopping = false
  #addresses: GatewayAddresses | null = null

  constructor (parts: GatewayParts) {
    this.#parts = parts
    this.#settings = parts.settings
    const { settings, log, management } = parts
    const seed = parseInt(this.#incarnation.slice(0, 8), 16)
    this.#rng = createRng(seed)
    this.#decisions = new DecisionLog(log)
    this.#book = new EndpointBook(decision => this.#decisions.record(decision), () => this.#chooser.rebuild())
    this.#roster = new VmRoster({
      platform: parts.platform,
      self: { vm: settings.vm, incarnation: this.#incarnation, dataCentre: settings.dataCentre },
      log,
      onMark: mark => this.#suspects.applyMark(mark),
      onWave: notice => {
        this.#weights.noteReached(notice.reached, notice.model, notice.version)
        setTimeout(() => this.#desk.leave(this.#weights.listLoading()), LEAVE_LOADING_MS)
      }
    })
    this.#weights = new WeightsState({ readStaleMs: () => this.#settings.weightsMs - STALE_MARGIN_MS, holder: settings.vm, book: this.#book, roster: this.#roster, port: management, record: decision => this.#decisions.record(decision), onReached: () => this.#chooser.rebuild() })
    this.#chooser = new EndpointChooser({
      dataCentre: settings.dataCentre,
      nearDataCentres: settings.nearDataCentres,
      seed,
      book: this.#book,
      listPools: () => this.#config.config?.pools ?? [],
      findPool: pool => this.#config.findPool(pool),
      countVms: () => this.#roster.countVms(),
      listLoading: () => this.#weights.listLoading(),
      findWished: model => this.#weights.findWished(model),
      findCurrent: model => this.#weights.findCurrent(model),
      findOldest: model => this.#weights.findOldest(model)
    })
    this.#watch = new EndpointWatch({
      port: management,
      decisions: this.#decisions,
      findPool: pool => this.#config.findPool(pool) ?? null,
      isKnown: record => this.#book.find(record.entry.endpoint) === record
    })
    this.#intake = new DirectoryIntake({
      directory: parts.directory,
      config: this.#config,
      weights: this.#weights,
      book: this.#book,
      decisions: this.#decisions,
      onConfig: config => {
        this.#server.takeLimits(config.limits)
        this.#chooser.rebuild()
      },
      onWeights: () => this.#chooser.rebuild()
    })
    this.#resources = this.#follow(parts.directory.resourceTable, RESOURCE_WAIT_MS, 0, news => this.#intake.takeResources(news))
    this.#endpoints = this.#follow(parts.directory.endpointTable, ENDPOINT_WAIT_MS, ENDPOINT_REST_MS, news => this.#intake.takeEndpoints(news))
    this.#rosterFollower = this.#follow(ROSTER_TABLE, ROSTER_WAIT_MS, 0, news => {
      this.#roster.takeNews(news)
      this.#budget.share(this.#settings, this.#roster.countVms())
    })
    this.#keys = new KeyFreshness(this.#resources, () => this.#settings.revokeMs)
    this.#gate = new RequestGate({ config: this.#config, keys: this.#keys, chooser: this.#chooser, suspects: this.#suspects })
    this.#budget = new SharedBudget(settings, this.#roster.countVms())
    this.#kept = new KeptPrefixes({
      port: management,
      log,
      findStore: () => this.#config.config?.keptStores[0] ?? null
    })
    this.#flow = this.#buildFlow()
    this.#desk = new CallerDesk({ gate: this.#gate, flow: this.#flow })
    this.#server = new CallerServer((message, answer) => this.#desk.serve(message, answer))
    this.#readiness = new Readiness({ config: this.#config, intake: this.#intake, roster: this.#rosterFollower, keys: this.#keys, decisions: this.#decisions, isStopping: () => this.#isStopping })
    this.#figures.addGauge('requests_in_flight', 'Requests under way.', () => this.#desk.inFlight)
    this.#figures.addGauge('endpoints', 'Endpoints known.', () => this.#book.size)
    this.#figures.addGauge('endpoints_out', 'Endpoints left out because they do not answer.', () => this.#watch.outCount)
    this.#figures.addGauge('endpoints_loading', 'Endpoints that load weights.', () => this.#weights.listLoading().size)
    this.#figures.addGauge('keys_age_seconds', 'Age of the operator\'s rows.', () => Math.min(this.#keys.ageMs, Number.MAX_SAFE_INTEGER) / 1_000)
    this.#figures.addGauge('vms', 'VMs that may be running.', () => this.#roster.countVms())
    this.#figures.addGauge('ready', 'Whether this VM wants callers.', () => this.isReady ? 1 : 0)
  }

  /** Base URLs while the gateway listens, else null. */
  get addresses (): GatewayAddresses | null {
    return this.#addresses
  }

  /** Whether this VM wants callers. */
  get isReady (): boolean {
    return this.#readiness.isReady
  }

  /** Takes settings read anew: bounds apply at once, addresses at the next start. */
  takeSettings (settings: VmSettings): void {
    this.#settings = settings
    this.#budget.share(this.#settings, this.#roster.countVms())
    this.#decisions.record({ type: 'reloaded', vm: settings.vm })
  }

  /** Runs until the signal aborts, then stops in order. */
  async run (signal: AbortSignal): Promise<void> {
    const { settings, platform, log } = this.#parts
    this.#decisions.record({ type: 'started', vm: settings.vm, incarnation: this.#incarnation, dataCentre: settings.dataCentre })
    const readiness = await startReadinessServer(settings.readiness, () => this.isReady)
    const metrics = settings.metrics === null ? null : await startMetricsServer(settings.metrics, this.#figures)
    const callers = await this.#server.start(settings.callers)
    this.#addresses = { callers, readiness: readiness.url, metrics: metrics?.url ?? null }
    const tasks = new AbortController()
    const lease = { ...DEFAULT_WAVE_OPTIONS.lease, maxCommandMs: settings.leaseMs + DEFAULT_WAVE_OPTIONS.lease.guardMs }
    const waves = new WaveTask({ vm: settings.vm, incarnation: this.#incarnation, platform, ports: this.#weights.buildPorts(), log, options: { ...DEFAULT_WAVE_OPTIONS, lease } })
    const running = [
      this.#resources.run(tasks.signal),
      this.#endpoints.run(tasks.signal),
      this.#rosterFollower.run(tasks.signal),
      this.#roster.announceSelf(tasks.signal),
      this.#watch.run(tasks.signal),
      this.#kept.run(tasks.signal),
      waves.run(tasks.signal, () => this.#isStopping),
      runEvery(SWEEP_MS, tasks.signal, () => {
        this.#book.sweep()
        this.#readiness.look()
      })
    ]
    await sleep(2 ** 30, signal)
    await this.#stop()
    tasks.abort()
    await Promise.all(running)
    await this.#roster.leave()
    this.#server.closeAll()
    await closeSideServer(readiness)
    await closeSideServer(metrics)
    this.#agent.destroy()
    this.#decisions.record({ type: 'stopped', vm: settings.vm, inFlight: this.#desk.inFlight })
  }

  /** Not ready at once, but serving until callers have gone elsewhere and all requests are answered. */
  async #stop (): Promise<void> {
    const settings = this.#settings
    const startedAtMs = performance.now()
    this.#isStopping = true
    this.#decisions.record({ type: 'stopping', vm: settings.vm, inFlight: this.#desk.inFlight })
    this.#server.startStop()
    await sleep(Math.min(LEAVE_MS, settings.graceMs / 2))
    this.#desk.close()
    this.#server.closeListener()
    const untilMs = startedAtMs + settings.graceMs * GRACE_SHARE
    for (;;) {
      this.#server.closeIdle()
      if (this.#desk.inFlight === 0 || performance.now() >= untilMs) return
      await sleep(DRAIN_LOOK_MS)
    }
  }

  #buildFlow (): FlowParts {
    return {
      port: this.#parts.endpointPort,
      agent: this.#agent,
      chooser: this.#chooser,
      watch: this.#watch,
      kept: this.#kept,
      figures: this.#figures,
      decisions: this.#decisions,
      log: this.#parts.log,
      takeRetry: (pool, isOptional) => this.#budget.take(pool, isOptional),
      noteSuccess: (pool, fingerprint) => this.#noteSuccess(pool, fingerprint),
      noteCrash: (fingerprint, record, startedAtMs) => this.#noteCrash(fingerprint, record, startedAtMs),
      readKeysAgeMs: () => this.#keys.ageMs,
      drawRetryMs: meanMs => Math.round(meanMs * (0.5 + this.#rng.float()))
    }
  }

  #noteCrash (fingerprint: string, record: EndpointRecord, startedAtMs: number): void {
    const mark: SuspectMark = this.#suspects.recordCrash(fingerprint, record.entry.endpoint, startedAtMs)
    this.#decisions.record({ type: 'crashMarked', requests: 1, endpoint: record.entry.endpoint })
    this.#tellMark(mark)
  }

  /** A request that crashes endpoints is served by none. */
  #noteSuccess (pool: string, fingerprint: string): void {
    this.#budget.noteSuccess(pool)
    const cleared = this.#suspects.recordSuccess(fingerprint)
    if (cleared !== null) this.#tellMark(cleared)
  }

  #tellMark (mark: SuspectMark): void {
    this.#roster.announceMark(mark).catch(error => this.#parts.log.warn('Mark not told.', { type: mark.type, reason: (error as Error).message }))
  }

  #follow (table: string, waitMs: number, restMs: number, onNews: (news: TableNews) => void): TableFollower {
    return new TableFollower(this.#parts.feed, { ...DEFAULT_FOLLOWER_OPTIONS, table, waitMs, restMs, seed: this.#rng.int(2 ** 30) }, this.#parts.log, onNews)
  }
}
