import { runEvery } from 'knapweedshunt-utils'
import type { PoolName } from 'knapweedshunt-types'
import type { GatewayPool } from '../ports/gatewayConfig.ts'
import type { ManagementPort } from '../ports/managementPort.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { HealthObservation } from './endpointHealth.ts'
import { HEALTH_OBSERVATION } from './endpointHealth.ts'
import type { EndpointRecord } from './endpointRecord.ts'

/** Interval between two checks for silent endpoints, in milliseconds. */
const CHECK_INTERVAL_MS = 100

/** Silence after which an endpoint with requests in flight is probed, in milliseconds; several steps of a busy engine. */
const SILENCE_TIMEOUT_MS = 450

/** Timeout of a probe, in milliseconds; the network round trip takes one or two. */
const PROBE_TIMEOUT_MS = 250

/** Interval between two probes of an excluded endpoint, in milliseconds. */
const EXCLUDED_PROBE_INTERVAL_MS = 300

/** Number of excluded endpoints of a pool that are probed within the interval; the others take turns. */
const PROBED_PER_INTERVAL = 2

/** Number of endpoints that become unreached within the window, in milliseconds, after which others are probed: this VM may have lost its links. */
const SUSPICIOUS_LOSS_COUNT = 2
const SUSPICIOUS_LOSS_WINDOW_MS = 1_000

/** Number of endpoints that are probed first then. While half of them or more do not answer, twice as many follow: a VM that probes all at once may not have the processor time to read the answers in time. */
const FIRST_PROBES = 6

/** Time since the last byte within which an endpoint counts as reached without a probe, in milliseconds. */
const RECENT_BYTE_MS = 150

interface MonitoredEndpoint {
  record: EndpointRecord
  /** Monotonic start times of the attempts in flight. */
  startTimesMs: number[]
  probedAtMs: number
  isProbing: boolean
}

/** Dependencies of {@link EndpointMonitor}. */
export interface EndpointMonitorDependencies {
  managementPort: ManagementPort
  decisionLog: DecisionLog
  findPool (pool: PoolName): GatewayPool | null
  /** Lists the endpoints of a pool, or all. */
  listEndpoints (pool?: PoolName): readonly EndpointRecord[]
  /** Counts a probe towards the endpoint's rate limit; false if it may not be sent one now. */
  tryTakePermit (record: EndpointRecord): boolean
  /** Whether the record is still the one in the registry for its endpoint. */
  isCurrent (record: EndpointRecord): boolean
}

/** Monitors endpoints with attempts in flight: a silent one is probed, and excluded until it answers when the probe fails. */
export class EndpointMonitor {
  readonly #dependencies: EndpointMonitorDependencies
  readonly #monitored = new Map<EndpointRecord, MonitoredEndpoint>()
  readonly #excluded = new Set<EndpointRecord>()
  /** Monotonic times at which endpoints became unreached. */
  #lossTimesMs: number[] = []
  #isCheckingLinks = false

  constructor (dependencies: EndpointMonitorDependencies) {
    this.#dependencies = dependencies
  }

  /** Number of endpoints excluded as down until they answer a probe. */
  get excludedCount (): number {
    return this.#excluded.size
  }

  /** Checks for silent endpoints until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await runEvery(CHECK_INTERVAL_MS, signal, () => this.#probeSilent())
  }

  /** Records the start of an attempt. */
  recordStart (record: EndpointRecord, atMs: number): void {
    this.#getOrCreate(record).startTimesMs.push(atMs)
  }

  /** Records the end of an attempt; `startedAtMs` identifies it. */
  recordEnd (record: EndpointRecord, startedAtMs: number): void {
    const monitored = this.#monitored.get(record)
    if (monitored === undefined) return
    const i = monitored.startTimesMs.indexOf(startedAtMs)
    if (i !== -1) monitored.startTimesMs.splice(i, 1)
    if (monitored.startTimesMs.length === 0 && !this.#excluded.has(record)) this.#monitored.delete(record)
  }

  /** Probes an endpoint now, unless that is under way or not permitted. */
  probe (record: EndpointRecord): void {
    const monitored = this.#getOrCreate(record)
    if (!monitored.isProbing && this.#dependencies.tryTakePermit(record)) this.#probe(monitored, performance.now()).catch(() => {}) // The port does not throw.
  }

  /** Records that bytes arrived from the endpoint. */
  recordReceivedBytes (record: EndpointRecord): void {
    record.lastReceivedAtMs = record.answeredAtMs = performance.now()
  }

  /** Records what an attempt showed about its endpoint, and excludes the endpoint if it counts as down. */
  recordObservation (record: EndpointRecord, observation: HealthObservation, reason: string): void {
    if (observation === HEALTH_OBSERVATION.served) this.recordReceivedBytes(record)
    const isExcluded = record.health.recordObservation(observation)
    if (observation === HEALTH_OBSERVATION.unreached) this.#setReached(record, false)
    if (isExcluded) this.#exclude(record, reason)
  }

  /** Links heal together: the others are probed at once. */
  #handleBack (record: EndpointRecord): void {
    this.#dependencies.decisionLog.record({ type: 'endpointBack', endpoint: record.entry.endpoint })
    for (const other of this.#excluded) this.#getOrCreate(other).probedAtMs = -Infinity
  }

  #exclude (record: EndpointRecord, reason: string): void {
    if (!this.#excluded.has(record)) this.#dependencies.decisionLog.record({ type: 'endpointOut', endpoint: record.entry.endpoint, reason })
    this.#excluded.add(record)
    if (!this.#monitored.has(record)) this.#monitored.set(record, { record, startTimesMs: [], probedAtMs: performance.now(), isProbing: false })
  }

  #setReached (record: EndpointRecord, isReached: boolean): void {
    if (record.isReached === isReached) return
    record.isReached = isReached
    record.lostAtMs = isReached ? null : performance.now()
    const endpoints = this.#dependencies.listEndpoints(record.entry.pool)
    if (!isReached) this.#recordLoss()
    this.#dependencies.decisionLog.record({ type: 'poolReach', pool: record.entry.pool, reached: endpoints.filter(one => one.isReached).length, known: endpoints.length })
  }

  /** Several endpoints lost at a time: probes others that did not answer lately, rather than wait until a request fails at each. */
  #recordLoss (): void {
    const nowMs = performance.now()
    this.#lossTimesMs = [...this.#lossTimesMs.filter(atMs => nowMs - atMs < SUSPICIOUS_LOSS_WINDOW_MS), nowMs]
    if (this.#lossTimesMs.length < SUSPICIOUS_LOSS_COUNT || this.#isCheckingLinks) return
    this.#isCheckingLinks = true
    this.#checkLinks().catch(() => {}).finally(() => { this.#isCheckingLinks = false }) // The port does not throw.
  }

  /** Ends with the first group of endpoints most of which answer: the others were lost for a reason of their own. */
  async #checkLinks (): Promise<void> {
    const startedAtMs = performance.now()
    const unheard = this.#dependencies.listEndpoints().filter(record => record.isReached && !record.isDraining && !this.#excluded.has(record) && startedAtMs - record.lastReceivedAtMs >= RECENT_BYTE_MS)
    unheard.sort((a, b) => b.lastReceivedAtMs - a.lastReceivedAtMs)
    for (let count = FIRST_PROBES; unheard.length > 0; count *= 2) {
      const group = unheard.splice(0, count).filter(record => !this.#getOrCreate(record).isProbing && this.#dependencies.tryTakePermit(record))
      await Promise.all(group.map(record => this.#probe(this.#getOrCreate(record), performance.now())))
      if (group.filter(({ isReached }) => !isReached).length < group.length / 2) return
    }
  }

  #getOrCreate (record: EndpointRecord): MonitoredEndpoint {
    const monitored = this.#monitored.get(record) ?? { record, startTimesMs: [], probedAtMs: -Infinity, isProbing: false }
    this.#monitored.set(record, monitored)
    return monitored
  }

  /** Excluded endpoints of a pool take turns, so that a VM without links does not probe all of them all the time. */
  #getExcludedIntervalMs ({ entry }: EndpointRecord): number {
    const excludedCount = [...this.#excluded].filter(record => record.entry.pool === entry.pool).length
    return EXCLUDED_PROBE_INTERVAL_MS * Math.max(1, excludedCount / PROBED_PER_INTERVAL)
  }

  #probeSilent (): void {
    const nowMs = performance.now()
    for (const monitored of this.#monitored.values()) {
      const { record, startTimesMs } = monitored
      if (startTimesMs.length === 0 && !this.#dependencies.isCurrent(record)) {
        this.#monitored.delete(record)
        this.#excluded.delete(record)
        continue
      }
      const isExcluded = this.#excluded.has(record)
      const silentMs = startTimesMs.length === 0 ? 0 : nowMs - Math.max(record.lastReceivedAtMs, Math.min(...startTimesMs))
      const isDue = isExcluded ? nowMs - monitored.probedAtMs >= this.#getExcludedIntervalMs(record) : silentMs >= SILENCE_TIMEOUT_MS && nowMs - monitored.probedAtMs >= SILENCE_TIMEOUT_MS
      if (isDue && !monitored.isProbing && this.#dependencies.tryTakePermit(record)) this.#probe(monitored, nowMs).catch(() => {}) // The port does not throw.
    }
  }

  async #probe (monitored: MonitoredEndpoint, nowMs: number): Promise<void> {
    const { record } = monitored
    monitored.isProbing = true
    monitored.probedAtMs = nowMs
    const isAlive = await this.#dependencies.managementPort.probe(record.entry, this.#dependencies.findPool(record.entry.pool), PROBE_TIMEOUT_MS)
    monitored.isProbing = false
    if (!isAlive) {
      record.health.recordObservation(HEALTH_OBSERVATION.unreached)
      this.#setReached(record, false)
      return this.#exclude(record, 'no answer to a probe')
    }
    record.health.recordProbeSuccess()
    record.answeredAtMs = performance.now()
    record.answeredProbeAtMs = nowMs
    this.#setReached(record, true)
    if (this.#excluded.delete(record)) this.#handleBack(record)
    if (monitored.startTimesMs.length === 0) this.#monitored.delete(record)
  }
}
