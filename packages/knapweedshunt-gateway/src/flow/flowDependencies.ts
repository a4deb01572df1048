import type { RunTimes } from 'knapweedshunt-admission'
import type { Logger } from 'knapweedshunt-logger'
import type { VmId } from 'knapweedshunt-types'
import type { LossReason } from '../endpoints/attemptOutcome.ts'
import type { EndpointAgent } from '../endpoints/endpointAgent.ts'
import type { EndpointChooser } from '../endpoints/endpointChooser.ts'
import type { IncarnationChecks } from '../endpoints/incarnationChecks.ts'
import type { KvStoreMonitor } from '../endpoints/kvStoreMonitor.ts'
import type { EndpointLimits } from '../endpoints/endpointLimits.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { EndpointPermits } from '../endpoints/endpointPermits.ts'
import type { EndpointMonitor } from '../endpoints/endpointMonitor.ts'
import type { Quarantine } from '../directory/quarantine.ts'
import type { EndpointPort } from '../ports/endpointPort.ts'
import type { EndpointRelays } from 'knapweedshunt-membership'
import type { PeerView } from '../peers/peerAddress.ts'
import type { StreamOrigins } from '../peers/streamOrigins.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import type { WeightsReplacement } from '../weights/weightsState.ts'
import type { CrashedAttempt } from './crashedAttempt.ts'
import type { KeyRefusal } from './keyRefusal.ts'
import type { BodyMemory } from 'knapweedshunt-utils'
import type { EventMemory } from './eventMemory.ts'
import type { EventTurns } from './eventTurns.ts'
import type { ForwardingTurns } from './forwardingTurns.ts'
import type { ForwardedResponses } from './forwardedResponses.ts'
import type { PermitQueue } from './permitQueue.ts'
import type { PoolOverload } from './poolOverload.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { StopWindow } from './stopWindow.ts'

/** Dependencies shared by the tasks of all requests. */
export interface FlowDependencies {
  /** Name of this VM. */
  vm: VmId
  endpointPort: EndpointPort
  agent: EndpointAgent
  chooser: EndpointChooser
  endpointMonitor: EndpointMonitor
  incarnationChecks: IncarnationChecks
  kvStoreMonitor: KvStoreMonitor
  endpointLimits: EndpointLimits
  endpointPermits: EndpointPermits
  permitQueue: PermitQueue
  /** Ends an upload whose caller sends nothing, so that it gives its place at an endpoint of the pool to another request. */
  yieldPlace (pool: string): void
  eventMemory: EventMemory
  /** Memory for the bodies of responses that are buffered. */
  responseMemory: BodyMemory
  eventTurns: EventTurns
  forwardingTurns: ForwardingTurns
  forwardedResponses: ForwardedResponses
  streamOrigins: StreamOrigins
  relays: EndpointRelays<PeerView>
  /** Run times of this VM's requests, by route. */
  runTimes: RunTimes
  stopWindow: StopWindow
  poolOverload: PoolOverload
  metrics: GatewayMetrics
  decisionLog: DecisionLog
  log: Logger
  /** Takes one retry permit from the budget of the pool; false when it is spent. An optional retry uses only permits earned by successes and leaves the reserve to requests that would otherwise fail. */
  tryTakeRetry (pool: string, isOptional: boolean): boolean
  /** Records an answer that is no server error: it credits the retry budget of its pool and is no longer suspect. */
  recordSuccess (plan: RequestPlan, record: EndpointRecord, startedAtMs: number, status: number): void
  /** Records that an endpoint may have crashed while it ran the request; `evidence` is how the attempt ended. */
  recordCrash (attempt: CrashedAttempt, evidence: LossReason): void
  /** Records that a request is sent to an endpoint. */
  recordSent (plan: RequestPlan): void
  /** Records that bytes arrived from an endpoint on a connection that was established at a monotonic time. */
  recordReceived (record: EndpointRecord, openedAtMs: number): void
  /** Records an attempt that was given up before an answer began, or whose stream stalled: its endpoint may have crashed. */
  recordUnanswered (attempt: CrashedAttempt): void
  /** Returns why the request must not be sent, if endpoints crashed under it or under parts of its prompt; otherwise null. */
  findQuarantine (plan: RequestPlan): Quarantine | null
  /** Whether a request that was sent may still begin on a version of a model's weights. */
  canBeginOn (model: string, version: number): boolean
  /** Returns how long a version of a model's weights has been replaced; null while it is the newest one. */
  findReplacement (model: string, version: number): WeightsReplacement | null
  /** Returns why the request must not be sent under its access key; null if it may be, or needs none. */
  checkKey (plan: RequestPlan): Promise<KeyRefusal | null>
  /** Whether the request can probably be sent on under its access key; true if it needs none. */
  isKeyUsable (plan: RequestPlan): boolean
  /** Time since the access keys were last confirmed, in milliseconds. */
  getKeysAgeMs (): number
  /** Puts back what a request that no endpoint ran took from the limit of its organisation. */
  putBackUsage (plan: RequestPlan): void
  /** Adds jitter to a delay: returns 50 to 150 % of the mean, in milliseconds. */
  randomizeDelayMs (meanMs: number): number
}
