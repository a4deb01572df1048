import type { DataCentreId, EndpointName, EndpointView, Revision } from 'knapweedshunt-types'
import type { EndpointCommand } from './endpointCommand.ts'
import type { PoolGoal } from './poolGoal.ts'
import type { RolloutRow } from './rolloutState.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Limits and timeouts of the planner. */
export interface PlannerOptions {
  /** Minimum time in role `drain` before a load, so that every router has learned of it, in milliseconds. */
  drainPropagationMs: number
  /** Maximum wait for requests in flight to end, in milliseconds. */
  drainTimeoutMs: number
  /** Time without a report after which a dead endpoint's slot is released, in milliseconds. */
  deadSlotTimeoutMs: number
  /** Number of consecutive failed loads that halts a roll-out. */
  maxConsecutiveFailures: number
}

/** Defaults for routers that learn of a drain within two seconds. */
export const DEFAULT_PLANNER_OPTIONS: PlannerOptions = { drainPropagationMs: 2_000, drainTimeoutMs: 30_000, deadSlotTimeoutMs: 10_000, maxConsecutiveFailures: 3 }

/** One endpoint of the pool in the planner's own data centre. */
export interface PlannedEndpoint {
  endpoint: EndpointName
  /** Whether the operator has requested a drain. */
  draining: boolean
  /** Most recent view; null until the endpoint's first report. */
  view: EndpointView | null
  /** View received through gossip, which is what routers use; the same as `view` unless the endpoint was queried directly. */
  gossipView: EndpointView | null
  /** Silent for so long that the planner no longer waits for it. */
  isUnreachable: boolean
  /** Time for which it has been seen in role `drain`, in milliseconds; 0 when it is not in that role. */
  drainedForMs: number
  /** A command is in flight, or was answered after the view was made. */
  hasPendingCommand: boolean
  /** Weights of the last command that this holder knows was accepted by this incarnation; null when there is none. */
  confirmedWeights: WeightsTarget | null
}

/** State of another data centre's lease, as observed by this VM. */
export type PeerLeaseState =
  /** Its holder renews it, and its counts are current. */
  | 'fresh'
  /** Renewals are missing, so its counts may be outdated; its holder may still act and its commands may still run. */
  | 'stale'
  /** It has no row, or expired so long ago that none of its commands can still run; its slots are free. */
  | 'expired'

/** Another data centre with endpoints of the pool. */
export interface PeerDataCentre {
  dataCentre: DataCentreId
  lease: PeerLeaseState
}

/** Complete input of the planner. */
export interface PoolInput {
  goal: PoolGoal
  dataCentre: DataCentreId
  endpoints: PlannedEndpoint[]
  peers: PeerDataCentre[]
  row: RolloutRow
  /** Revision of the resource snapshot that the goal was built from. */
  revision: Revision
}

/** Next step of one pool. */
export interface PoolPlan {
  /** New durable state; null when it is unchanged. */
  row: RolloutRow | null
  /** Commands for endpoints whose slots are already durable, and for drained endpoints without a slot. */
  commands: EndpointCommand[]
  /** Whether every endpoint of the pool has the roll-out's weights, which are then to be committed to the pool. */
  isComplete: boolean
}
