import type http from 'node:http'
import type { Logger } from 'knapweedshunt-logger'
import type { EndpointChooser } from '../endpoints/endpointChooser.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { KeptPrefixes } from '../endpoints/keptPrefixes.ts'
import type { EndpointWatch } from '../endpoints/endpointWatch.ts'
import type { EndpointPort } from '../ports/endpointPort.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { Figures } from '../records/figures.ts'

/** What the tasks of requests share. */
export interface FlowParts {
  port: EndpointPort
  agent: http.Agent
  chooser: EndpointChooser
  watch: EndpointWatch
  kept: KeptPrefixes
  figures: Figures
  decisions: DecisionLog
  log: Logger
  /** Takes one repeat from the budget of a pool; an optional one uses only what successes have saved, and leaves the rest to requests that would fail without. */
  takeRetry (pool: string, isOptional: boolean): boolean
  /** A request was served: it earns repeats for its pool, and is no longer suspect. */
  noteSuccess (pool: string, fingerprint: string): void
  /** Notes that an endpoint broke off while the request had not begun to be answered. */
  noteCrash (fingerprint: string, record: EndpointRecord, startedAtMs: number): void
  readKeysAgeMs (): number
  /** Draws a time around a mean, in milliseconds. */
  drawRetryMs (meanMs: number): number
}
