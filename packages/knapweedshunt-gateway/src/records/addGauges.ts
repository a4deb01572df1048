import type { CallerMemory } from '../callers/callerMemory.ts'
import type { CallerRequestHandler } from '../callers/callerRequestHandler.ts'
import type { CallerServer } from '../callers/callerServer.ts'
import type { KeyFreshness } from '../directory/keyFreshness.ts'
import type { Readiness } from '../directory/readiness.ts'
import type { SuspectTracker } from '../directory/suspectTracker.ts'
import type { TableFollowers } from '../directory/tableFollowers.ts'
import type { VmRoster } from '../directory/vmRoster.ts'
import type { EndpointAgent } from '../endpoints/endpointAgent.ts'
import type { EndpointLimits } from '../endpoints/endpointLimits.ts'
import type { EndpointMonitor } from '../endpoints/endpointMonitor.ts'
import type { EndpointPermits } from '../endpoints/endpointPermits.ts'
import type { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { ForwardedResponses } from '../flow/forwardedResponses.ts'
import type { PoolOverload } from '../flow/poolOverload.ts'
import { PROCESS_TURNS } from 'knapweedshunt-utils'
import type { BodyMemory } from 'knapweedshunt-utils'
import type { UsageLimits } from '../limits/usageLimits.ts'
import type { PeerServices } from '../peers/peerServices.ts'
import type { WeightsState } from '../weights/weightsState.ts'
import type { DelayWatch } from './delayWatch.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'

const MS_PER_SECOND = 1_000

/** The parts of a gateway whose state gauges show. */
export interface GaugeSources {
  requestHandler: CallerRequestHandler
  callerMemory: CallerMemory
  callerServer: CallerServer
  forwardedResponses: ForwardedResponses
  responseMemory: BodyMemory
  agent: EndpointAgent
  endpointRegistry: EndpointRegistry
  endpointMonitor: EndpointMonitor
  endpointLimits: EndpointLimits
  endpointPermits: EndpointPermits
  poolOverload: PoolOverload
  peerServices: PeerServices
  weightsState: WeightsState
  keyFreshness: KeyFreshness
  roster: VmRoster
  suspectTracker: SuspectTracker
  followers: TableFollowers
  readiness: Readiness
  delayWatch: DelayWatch
  usageLimits: UsageLimits
}

/** Adds the gauges of a gateway's state to its metrics. */
export function addGauges (metrics: GatewayMetrics, { requestHandler, callerMemory, callerServer, forwardedResponses, responseMemory, agent, endpointRegistry, endpointMonitor, endpointLimits, endpointPermits, poolOverload, peerServices, weightsState, keyFreshness, roster, suspectTracker, followers, readiness, delayWatch, usageLimits }: GaugeSources): void {
  metrics.addGauge('requests_in_flight', 'Requests under way.', () => requestHandler.inFlight)
  metrics.addGauge('caller_connections', 'Connections of callers.', () => callerServer.connectionCount)
  metrics.addGauge('accept_backlog_seconds', 'Longest time since the last reading in which every turn of the event loop accepted a connection of a caller, so that others may have waited.', () => callerServer.takeMaxBacklogMs() / MS_PER_SECOND)
  metrics.addGauge('caller_requests_waiting', 'Requests that wait behind others of their connections.', () => callerServer.waitingCount)
  metrics.addGauge('caller_body_bytes', 'Memory taken for bodies of requests.', () => callerMemory.takenBytes)
  metrics.addGauge('caller_bodies_arriving', 'Bodies of requests that have not arrived whole.', () => callerMemory.arrivingCount)
  metrics.addGauge('responses_forwarded', 'Responses whose bodies are being forwarded as they arrive.', () => forwardedResponses.count)
  metrics.addGauge('response_pending_bytes', 'Bytes of these responses that were read and not yet taken by the connections of their callers.', () => forwardedResponses.sumPendingBytes())
  metrics.addGauge('response_memory_bytes', 'Memory taken for bodies of responses that are buffered.', () => responseMemory.takenBytes)
  metrics.addGauge('response_parts', 'Parts in which the bodies of responses of endpoints arrived since the start: at least one for each chunk and each read.', () => agent.partCount)
  metrics.addGauge('response_part_bytes', 'Size of these parts.', () => agent.partBytes)
  metrics.addGauge('parsing_waits', 'Connections whose bytes come in very small parts and wait for a turn.', () => PROCESS_TURNS.waitingCount)
  metrics.addGauge('memory_resident_bytes', 'Resident memory of the process.', () => process.memoryUsage.rss())
  metrics.addGauge('memory_heap_bytes', 'JavaScript heap in use, with garbage that is not collected yet.', () => process.memoryUsage().heapUsed)
  metrics.addGauge('memory_buffer_bytes', 'Buffers outside the heap, with those that are not collected yet.', () => process.memoryUsage().arrayBuffers)
  metrics.addGauge('endpoints', 'Endpoints known.', () => endpointRegistry.size)
  metrics.addGauge('endpoints_out', 'Endpoints left out because they do not answer.', () => endpointMonitor.excludedCount)
  metrics.addGauge('endpoints_reached', 'Endpoints that this VM reaches.', () => endpointRegistry.list().filter(record => record.isReached).length)
  metrics.addGauge('endpoints_limited', 'Endpoints that state a rate limit.', () => endpointLimits.count)
  metrics.addGauge('endpoints_backing_off', 'Endpoints that asked this VM to back off.', () => endpointPermits.backoffCount)
  metrics.addGauge('engines_admitted_share', 'Part of this VM\'s demand that is admitted, of the pool of engines that admits least.', () => poolOverload.enginePools.minAdmittedShare)
  metrics.addGauge('engines_predicted_wait_seconds', 'Longest predicted wait for the engines of a pool.', () => poolOverload.enginePools.maxPredictedWaitMs / MS_PER_SECOND)
  metrics.addGauge('stream_origins', 'Streams whose software version this VM knows.', () => peerServices.streamOrigins.count)
  metrics.addGauge('stored_streams', 'Streams in this VM\'s rows.', () => peerServices.streamRows.count)
  metrics.addGauge('endpoints_loading', 'Endpoints that load weights.', () => weightsState.listLoadingEndpoints().size)
  metrics.addGauge('keys_age_seconds', 'Age of the operator\'s rows.', () => Math.min(keyFreshness.ageMs, Number.MAX_SAFE_INTEGER) / MS_PER_SECOND)
  metrics.addGauge('vms', 'VMs that may be running.', () => roster.countVms())
  metrics.addGauge('suspect_requests', 'Requests held as suspect, quarantined or recently cleared.', () => suspectTracker.requestCount)
  metrics.addGauge('part_quarantines', 'Quarantines of prompt parts in force.', () => suspectTracker.partQuarantineCount)
  metrics.addGauge('roster_age_seconds', 'Time since the VM roster and the marks of other VMs were last read.', () => (followers.roster.ageMs ?? Number.MAX_SAFE_INTEGER) / MS_PER_SECOND)
  metrics.addGauge('held_up_seconds', 'Longest time for which the process did nothing since the last reading.', () => delayWatch.takeMaxDelayMs() / MS_PER_SECOND)
  metrics.addGauge('usage_accounts', 'Organisations of whose limits this VM keeps the account now.', () => usageLimits.accountCount)
  metrics.addGauge('ready', 'Whether this VM wants callers.', () => readiness.isReady ? 1 : 0)
}
