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
  /** Lists the endpoints of a pool. */
  listEndpoints (pool: PoolName): EndpointRecord[]
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
    const monitored = this.#monitored.get(record) ?? { record, startTimesMs: [], probedAtMs: -Infinity, isProbing: false }
    monitored.startTimesMs.push(atMs)
    this.#monitored.set(record, monitored)
  }

  /** Records the end of an attempt; `startedAtMs` identifies it. */
  recordEnd (record: EndpointRecord, startedAtMs: number): void {
    const monitored = this.#monitored.get(record)
    if (monitored === undefined) return
    const i = monitored.startTimesMs.indexOf(startedAtMs)
    if (i !== -1) monitored.startTimesMs.splice(i, 1)
    if (monitored.startTimesMs.length === 0 && !this.#excluded.has(record)) this.#monitored.delete(record)
  }

  /** Records that bytes arrived from the endpoint. */
  recordReceivedBytes (record: EndpointRecord): void {
    record.lastReceivedAtMs = performance.now()
  }

  /** Records what an attempt showed about its endpoint, and excludes the endpoint if it counts as down. */
  recordObservation (record: EndpointRecord, observation: HealthObservation, reason: string): void {
    if (observation === HEALTH_OBSERVATION.served) record.lastReceivedAtMs = performance.now()
    if (!record.health.recordObservation(observation)) return
    this.#exclude(record, reason)
  }

  #exclude (record: EndpointRecord, reason: string): void {
    if (!this.#excluded.has(record)) this.#dependencies.decisionLog.record({ type: 'endpointOut', endpoint: record.entry.endpoint, reason })
    this.#excluded.add(record)
    this.#setReached(record, false)
    if (!this.#monitored.has(record)) this.#monitored.set(record, { record, startTimesMs: [], probedAtMs: performance.now(), isProbing: false })
  }

  #setReached (record: EndpointRecord, isReached: boolean): void {
    if (record.isReached === isReached) return
    record.isReached = isReached
    const endpoints = this.#dependencies.listEndpoints(record.entry.pool)
    this.#dependencies.decisionLog.record({ type: 'poolReach', pool: record.entry.pool, reached: endpoints.filter(one => one.isReached).length, known: endpoints.length })
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
      const isDue = isExcluded ? nowMs - monitored.probedAtMs >= EXCLUDED_PROBE_INTERVAL_MS : silentMs >= SILENCE_TIMEOUT_MS && nowMs - monitored.probedAtMs >= SILENCE_TIMEOUT_MS
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
      record.health.recordObservation(HEALTH_OBSERVATION.down)
      return this.#exclude(record, 'no answer to a probe')
    }
    record.health.recordProbeSuccess()
    this.#setReached(record, true)
    if (this.#excluded.delete(record)) this.#dependencies.decisionLog.record({ type: 'endpointBack', endpoint: record.entry.endpoint })
    if (monitored.startTimesMs.length === 0) this.#monitored.delete(record)
  }
}
