import type { EndpointName, FencingToken, Incarnation, PoolName, VmId } from 'knapweedshunt-types'

/** State of an endpoint that the waves are planned from. */
export interface WaveEndpoint {
  endpoint: EndpointName
  incarnation: Incarnation
  pool: PoolName
  model: string
  /** Version of the model's weights that the endpoint serves. */
  version: number
  /** Estimated running requests. */
  running: number
}

/** Target version of the weights of a model. */
export interface WaveGoal {
  model: string
  version: number
}

/** State of a pool's wave, announced by the lease holder to all VMs. */
export interface WaveNotice {
  vm: VmId
  pool: PoolName
  model: string
  version: number
  /** Endpoints that load or are about to: VMs send them no new requests. */
  loading: EndpointName[]
  /** Endpoints that serve the version. */
  reached: EndpointName[]
  /** Fencing number of the lease that the holder released before this notice; null while it may send commands. */
  endedFencing: FencingToken | null
  /** The holder shuts down: another VM may take over without waiting for it. */
  isLeaving: boolean
  /** Least time since the version was set, in milliseconds; absent when it is not known. */
  versionAgeMs?: number
}

/** A notice as one VM received it; the age is in milliseconds, by that VM's clock. */
export interface ReceivedNotice {
  notice: WaveNotice
  ageMs: number
}

/** An endpoint's answer to a report call. */
export interface WaveReport {
  /** Version of the weights; null when the endpoint reports none for the model. */
  version: number | null
  /** Whether the endpoint is busy with a load. */
  isBusy: boolean
  /** Commands accepted since the endpoint started. */
  ordersTaken: number
  /** Running requests. */
  running: number
}

/** A command to load weights. */
export interface WaveCommand {
  endpoint: EndpointName
  model: string
  version: number
  fencing: FencingToken
  /** Commands that the endpoint must have accepted before, else it refuses this one. */
  ordersTaken: number
  /** Whether running requests end before the load; else they continue under the new weights. */
  waitsForRequests: boolean
}

/** Outcome of a load command; `lost` means that no answer arrived. */
export type WaveCommandResult = 'taken' | 'holds' | 'conflict' | 'refused' | 'lost'

/** A decision of the waves; each is logged as one line. */
export type WaveDecision =
  | { type: 'leaseTaken', lease: string, fencing: FencingToken }
  | { type: 'leaseLost', lease: string, fencing: FencingToken }
  | { type: 'orderSent', endpoint: EndpointName, model: string, version: number, fencing: FencingToken, ordersTaken: number, waitsForRequests: boolean }
  | { type: 'orderAnswered', endpoint: EndpointName, version: number, result: WaveCommandResult }
  | { type: 'weightsReached', endpoint: EndpointName, model: string, version: number }
  /** The load is tried again after a backoff. */
  | { type: 'loadGivenUp', endpoint: EndpointName, version: number, reason: string }

/** What the waves require of the process that runs them. Only `announce` may throw. */
export interface WavePorts {
  listEndpoints (): WaveEndpoint[]
  listGoals (): WaveGoal[]
  /** Asks an endpoint for its report; null when it does not answer within the timeout. */
  readReport (endpoint: EndpointName, timeoutMs: number): Promise<WaveReport | null>
  sendCommand (command: WaveCommand, timeoutMs: number): Promise<WaveCommandResult>
  announce (notice: WaveNotice): Promise<void>
  /** Reads the last notice of a pool; null when there was none. */
  readNotice (pool: PoolName): ReceivedNotice | null
  /** Rank of this VM in contending for the lease, 0 first. */
  readRank (): number
  record (decision: WaveDecision): void
  /** Called when an endpoint has reached its target version. */
  handleReached (endpoint: EndpointName, model: string, version: number): void
}
