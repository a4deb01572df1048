import { runEvery } from 'knapweedshunt-utils'
import type { PoolName } from 'knapweedshunt-types'
import type { GatewayPool } from '../ports/gatewayConfig.ts'
import type { ManagementPort } from '../ports/managementPort.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { Evidence } from './endpointHealth.ts'
import { EVIDENCE } from './endpointHealth.ts'
import type { EndpointRecord } from './endpointRecord.ts'

/** Time between two looks for silent endpoints, in milliseconds. */
const LOOK_MS = 100

/** Silence of an endpoint with requests under way after which it is asked, in milliseconds; several steps of a busy engine. */
const SILENT_MS = 450

/** Longest wait for its answer, in milliseconds; the way takes one or two. */
const PROBE_MS = 250

/** Time between two questions to an endpoint that is left out, in milliseconds. */
const ASK_MS = 300

interface Watched {
  record: EndpointRecord
  /** Starts of the attempts under way, by the monotonic clock. */
  starts: number[]
  askedAtMs: number
  isAsked: boolean
}

/** What the watch is made of. */
export interface WatchParts {
  port: ManagementPort
  decisions: DecisionLog
  findPool (pool: PoolName): GatewayPool | null
  /** Whether the record is still the endpoint's. */
  isKnown (record: EndpointRecord): boolean
}

/** Watches endpoints with attempts under way: one that falls silent is asked whether it lives, and left out until it answers. */
export class EndpointWatch {
  readonly #parts: WatchParts
  readonly #watched = new Map<EndpointRecord, Watched>()
  readonly #out = new Set<EndpointRecord>()

  constructor (parts: WatchParts) {
    this.#parts = parts
  }

  /** Endpoints left out because they do not answer. */
  get outCount (): number {
    return this.#out.size
  }

  /** Looks for silent endpoints until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await runEvery(LOOK_MS, signal, () => this.#look())
  }

  /** An attempt was started. */
  noteStart (record: EndpointRecord, atMs: number): void {
    const watched = this.#watched.get(record) ?? { record, starts: [], askedAtMs: -Infinity, isAsked: false }
    watched.starts.push(atMs)
    this.#watched.set(record, watched)
  }

  /** An attempt is over. */
  noteEnd (record: EndpointRecord, startedAtMs: number): void {
    const watched = this.#watched.get(record)
    if (watched === undefined) return
    const i = watched.starts.indexOf(startedAtMs)
    if (i !== -1) watched.starts.splice(i, 1)
    if (watched.starts.length === 0 && !this.#out.has(record)) this.#watched.delete(record)
  }

  /** Bytes came from the endpoint. */
  noteHeard (record: EndpointRecord): void {
    record.heardAtMs = performance.now()
  }

  /** Takes what an attempt told of its endpoint. */
  note (record: EndpointRecord, evidence: Evidence, reason: string): void {
    if (evidence === EVIDENCE.served) record.heardAtMs = performance.now()
    if (!record.health.note(evidence)) return
    this.#setOut(record, reason)
  }

  #setOut (record: EndpointRecord, reason: string): void {
    if (!this.#out.has(record)) this.#parts.decisions.record({ type: 'endpointOut', endpoint: record.entry.endpoint, reason })
    this.#out.add(record)
    if (!this.#watched.has(record)) this.#watched.set(record, { record, starts: [], askedAtMs: performance.now(), isAsked: false })
  }

  #look (): void {
    const nowMs = performance.now()
    for (const watched of this.#watched.values()) {
      const { record, starts } = watched
      if (starts.length === 0 && !this.#parts.isKnown(record)) {
        this.#watched.delete(record)
        this.#out.delete(record)
        continue
      }
      const isOut = this.#out.has(record)
      const silentMs = starts.length === 0 ? 0 : nowMs - Math.max(record.heardAtMs, Math.min(...starts))
      const isDue = isOut ? nowMs - watched.askedAtMs >= ASK_MS : silentMs >= SILENT_MS && nowMs - watched.askedAtMs >= SILENT_MS
      if (isDue && !watched.isAsked) this.#ask(watched, nowMs).catch(() => {}) // The port does not throw.
    }
  }

  async #ask (watched: Watched, nowMs: number): Promise<void> {
    const { record } = watched
    watched.isAsked = true
    watched.askedAtMs = nowMs
    const isAlive = await this.#parts.port.probe(record.entry, this.#parts.findPool(record.entry.pool), PROBE_MS)
    watched.isAsked = false
    if (!isAlive) {
      record.health.note(EVIDENCE.down)
      return this.#setOut(record, 'no answer to a probe')
    }
    record.health.noteAlive()
    if (this.#out.delete(record)) this.#parts.decisions.record({ type: 'endpointBack', endpoint: record.entry.endpoint })
    if (watched.starts.length === 0) this.#watched.delete(record)
  }
}
