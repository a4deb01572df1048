import type { EndpointName, FencingNumber, Incarnation, PoolName, VmId } from 'knapweedshunt-types'

/** An endpoint as the waves see it. */
export interface WaveEndpoint {
  endpoint: EndpointName
  incarnation: Incarnation
  pool: PoolName
  model: string
  /** Version of the model's weights. */
  version: number
  /** Requests expected to run there. */
  running: number
}

/** Weights wished for a model. */
export interface WaveGoal {
  model: string
  version: number
}

/** What a holder tells all VMs of a pool's wave. */
export interface WaveNotice {
  vm: VmId
  pool: PoolName
  model: string
  version: number
  /** Endpoints that load, or will next: they get nothing new. */
  loading: EndpointName[]
  /** Endpoints seen to run the version. */
  reached: EndpointName[]
  /** Number of the lease that the holder gave up before this notice; null while it may give orders. */
  endedFencing: FencingNumber | null
  /** The holder leaves: another VM may follow at once. */
  isLeaving: boolean
}

/** A notice as one VM heard it; the age in milliseconds, by that VM's clock. */
export interface HeardNotice {
  notice: WaveNotice
  ageMs: number
}

/** What an endpoint says when it is asked. */
export interface WaveReport {
  version: number | null
  isBusy: boolean
  /** Orders accepted since its start. */
  ordersTaken: number
  /** Requests running there. */
  running: number
}

/** An order to load weights. */
export interface WaveOrder {
  endpoint: EndpointName
  model: string
  version: number
  fencing: FencingNumber
  /** Orders that the endpoint must have taken before. */
  ordersTaken: number
  /** Requests under way end first; else they go on under the new weights. */
  waitsForRequests: boolean
}

/** What became of an order. */
export type WaveOrderResult = 'taken' | 'holds' | 'conflict' | 'refused' | 'lost'

/** A decision of the waves; each is one line of the log. */
export type WaveDecision =
  | { type: 'leaseTaken', lease: string, fencing: FencingNumber }
  | { type: 'leaseLost', lease: string, fencing: FencingNumber }
  | { type: 'orderSent', endpoint: EndpointName, model: string, version: number, fencing: FencingNumber, ordersTaken: number, waitsForRequests: boolean }
  | { type: 'orderAnswered', endpoint: EndpointName, version: number, result: WaveOrderResult }
  | { type: 'weightsReached', endpoint: EndpointName, model: string, version: number }
  /** The endpoint is tried again later. */
  | { type: 'loadGivenUp', endpoint: EndpointName, version: number, reason: string }

/** What the waves need of their program. None of the methods throws, but for `announce`. */
export interface WavePorts {
  listEndpoints (): WaveEndpoint[]
  listGoals (): WaveGoal[]
  readReport (endpoint: EndpointName, timeoutMs: number): Promise<WaveReport | null>
  sendOrder (order: WaveOrder, timeoutMs: number): Promise<WaveOrderResult>
  announce (notice: WaveNotice): Promise<void>
  /** The last notice of a pool, and how long ago it was heard, in milliseconds; null when there was none. */
  readNotice (pool: PoolName): HeardNotice | null
  /** Place of this VM in the order in which VMs contend, 0 first. */
  readRank (): number
  record (decision: WaveDecision): void
  /** The endpoint runs the version. */
  noteReached (endpoint: EndpointName, model: string, version: number): void
}
