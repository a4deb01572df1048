import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { EvictionReason } from '../callers/callerMemory.ts'
import type { BodyEnd, ConnectionEviction, ServerName, UnacceptedReason } from './decision.ts'

/** Upper bounds of the latency buckets, in seconds; densest around the objectives of a few hundred milliseconds. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 15]

/** Maximum number of distinct values of a label; further values are counted as `other`. */
const MAX_LABEL_VALUES = 200

const MS_PER_SECOND = 1_000

/** Labels of the metrics of a request. */
export interface RequestLabels {
  route: string
  organisation: string
  priority: string
}

/** Prometheus metrics of the gateway, in a separate registry. */
export class GatewayMetrics {
  readonly registry = new Registry()
  readonly #labelValues = new Map<string, Set<string>>()
  readonly #firstByte = this.#createHistogram('first_byte_seconds', 'Time to the first byte of an answer.')
  readonly #total = this.#createHistogram('total_seconds', 'Time to the end of an answer.')
  readonly #refusals = new Counter({ name: 'knapweedshunt_refusals_total', help: 'Requests answered by the router itself, by reason.', labelNames: ['reason'], registers: [this.registry] })
  readonly #retries = new Counter({ name: 'knapweedshunt_retries_total', help: 'Attempts beyond the first, by pool.', labelNames: ['pool'], registers: [this.registry] })
  readonly #promptTokens = new Counter({ name: 'knapweedshunt_prompt_tokens_total', help: 'Prompt tokens sent, by whether the endpoint was expected to hold them.', labelNames: ['expected'], registers: [this.registry] })
  readonly #marks = new Counter({ name: 'knapweedshunt_crash_marks_total', help: 'Marks of requests that may crash endpoints, by event.', labelNames: ['event'], registers: [this.registry] })
  readonly #partQuarantines = new Counter({ name: 'knapweedshunt_part_quarantines_total', help: 'Quarantines of prompt parts that began here or were learnt from another VM.', registers: [this.registry] })
  readonly #limitChanges = new Counter({ name: 'knapweedshunt_endpoint_limit_changes_total', help: 'Changes of the rate limits that endpoints state in their responses.', registers: [this.registry] })
  readonly #relays = new Counter({ name: 'knapweedshunt_relays_total', help: 'Requests sent to another VM that reaches more endpoints, or received from one.', labelNames: ['direction'], registers: [this.registry] })
  readonly #bodyEnds = new Counter({ name: 'knapweedshunt_body_ends_total', help: 'Responses that ended, by what delimited their bodies: length or chunks (framed, only if forwarded completely), or the end of the connection and how it ended.', labelNames: ['end'], registers: [this.registry] })
  readonly #unwrittenRows = new Counter({ name: 'knapweedshunt_rows_unwritten_total', help: 'Failed writes of rows of this VM.', registers: [this.registry] })
  readonly #restoredStreams = new Counter({ name: 'knapweedshunt_streams_restored_total', help: 'Streams whose software version this VM read from the store after its start.', registers: [this.registry] })
  readonly #evictedStreams = new Counter({ name: 'knapweedshunt_streams_evicted_total', help: 'Streams dropped early from this VM\'s rows, as these were full.', registers: [this.registry] })
  readonly #usage = new Counter({ name: 'knapweedshunt_usage_units_total', help: 'Requests or tokens that count towards limits of organisations, by what was decided; returned if no endpoint ran the request.', labelNames: ['organisation', 'outcome'], registers: [this.registry] })
  readonly #usageCalls = new Counter({ name: 'knapweedshunt_usage_calls_total', help: 'Calls of this VM to others about limits of organisations, by kind and outcome.', labelNames: ['kind', 'outcome'], registers: [this.registry] })
  readonly #divisions = new Gauge({ name: 'knapweedshunt_prompt_endpoints', help: 'Endpoints of a pool that this VM uses for short and for long prompts; all for both while it is not divided.', labelNames: ['pool', 'prompts'], registers: [this.registry] })
  readonly #callerEvictions = new Counter({ name: 'knapweedshunt_caller_evictions_total', help: 'Bodies and connections that gave way to others, by server and reason.', labelNames: ['server', 'reason'], registers: [this.registry] })
  readonly #unaccepted = new Counter({ name: 'knapweedshunt_unaccepted_requests_total', help: 'Requests that were read and neither run nor answered, by reason.', labelNames: ['reason'], registers: [this.registry] })
  readonly #unanswered = new Counter({ name: 'knapweedshunt_unanswered_requests_total', help: 'Requests whose connection was closed without an answer, though their callers waited.', registers: [this.registry] })
  readonly #gauges = new Map<string, Gauge>()

  /** Records an answered request; times in milliseconds. */
  recordResponse (labels: RequestLabels, firstByteMs: number, totalMs: number): void {
    const limitedLabels = { route: this.#limitLabelValue('route', labels.route), organisation: this.#limitLabelValue('organisation', labels.organisation), priority: this.#limitLabelValue('priority', labels.priority) }
    this.#firstByte.observe(limitedLabels, firstByteMs / MS_PER_SECOND)
    this.#total.observe(limitedLabels, totalMs / MS_PER_SECOND)
  }

  /** Counts a request that the router answered itself. */
  recordRefusal (reason: string): void {
    this.#refusals.inc({ reason })
  }

  /** Counts what a request adds to the usage of its organisation. */
  recordUsage (organisation: string, outcome: 'admitted' | 'refused' | 'returned', amount: number): void {
    this.#usage.inc({ organisation: this.#limitLabelValue('organisation', organisation), outcome }, amount)
  }

  /** Counts a call to another VM about limits of organisations. */
  recordUsageCall (kind: 'exchange' | 'collect', outcome: 'answered' | 'failed'): void {
    this.#usageCalls.inc({ kind, outcome })
  }

  /** Counts an attempt beyond the first. */
  recordRetry (pool: string): void {
    this.#retries.inc({ pool: this.#limitLabelValue('pool', pool) })
  }

  /** Counts a mark of a request that may crash endpoints. */
  recordMark (event: 'recorded' | 'applied' | 'cleared' | 'livedOn' | 'evicted'): void {
    this.#marks.inc({ event })
  }

  /** Counts a quarantine of prompt parts. */
  recordPartQuarantine (): void {
    this.#partQuarantines.inc()
  }

  /** Counts a change of the rate limit that an endpoint states. */
  recordLimitChange (): void {
    this.#limitChanges.inc()
  }

  /** Counts a request that this VM sent to another one, or received from one, as the first reaches few endpoints. */
  recordRelay (direction: 'sent' | 'received'): void {
    this.#relays.inc({ direction })
  }

  /** Counts a response by what delimited its body. */
  recordBodyEnd (end: BodyEnd): void {
    this.#bodyEnds.inc({ end })
  }

  /** Counts a row of this VM that could not be written. */
  recordUnwrittenRow (): void {
    this.#unwrittenRows.inc()
  }

  /** Counts a body or connection that gave way. */
  recordCallerEviction (server: ServerName, reason: EvictionReason | ConnectionEviction): void {
    this.#callerEvictions.inc({ server, reason })
  }

  /** Counts requests of one connection that were read and neither run nor answered. */
  recordUnaccepted (reason: UnacceptedReason, count: number): void {
    this.#unaccepted.inc({ reason }, count)
  }

  /** Counts a request whose connection was closed without an answer. */
  recordUnanswered (): void {
    this.#unanswered.inc()
  }

  /** Counts streams whose software version this VM read from the store after its start. */
  recordRestoredStreams (count: number): void {
    this.#restoredStreams.inc(count)
  }

  /** Counts streams that were dropped early from this VM's rows. */
  recordEvictedStreams (count: number): void {
    this.#evictedStreams.inc(count)
  }

  /** Counts the tokens of a prompt that was sent, divided into those expected in the endpoint's cache and those to compute. */
  recordPrompt (tokens: number, expectedCachedTokens: number): void {
    const cached = Math.min(tokens, expectedCachedTokens)
    this.#promptTokens.inc({ expected: 'cached' }, cached)
    this.#promptTokens.inc({ expected: 'computed' }, tokens - cached)
  }

  /** Records how the endpoints of a pool are divided between short and long prompts. */
  recordDivision (pool: string, { endpoints, shortEndpoints }: { endpoints: number, shortEndpoints: number | null }): void {
    const label = this.#limitLabelValue('pool', pool)
    this.#divisions.set({ pool: label, prompts: 'short' }, shortEndpoints ?? endpoints)
    this.#divisions.set({ pool: label, prompts: 'long' }, endpoints - (shortEndpoints ?? 0))
  }

  /** Adds a gauge whose value is read when the metrics are scraped. */
  addGauge (name: string, help: string, getValue: () => number): void {
    this.#gauges.set(name, new Gauge({ name: `knapweedshunt_${name}`, help, registers: [this.registry], collect () { this.set(getValue()) } }))
  }

  #createHistogram (name: string, help: string): Histogram<'route' | 'organisation' | 'priority'> {
    return new Histogram({ name: `knapweedshunt_${name}`, help, labelNames: ['route', 'organisation', 'priority'], buckets: LATENCY_BUCKETS_S, registers: [this.registry] })
  }

  #limitLabelValue (label: string, value: string): string {
    const knownValues = this.#labelValues.get(label) ?? new Set()
    this.#labelValues.set(label, knownValues)
    if (!knownValues.has(value) && knownValues.size >= MAX_LABEL_VALUES) return 'other'
    knownValues.add(value)
    return value
  }
}
