import type { DataCentreId, EndpointName, EndpointView, Revision } from 'knapweedshunt-types'
import type { EndpointOrder } from './endpointOrder.ts'
import type { PoolGoal } from './poolGoal.ts'
import type { RolloutRow } from './rolloutState.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Bounds of the planner. */
export interface PlannerOptions {
  /** Least time in role `drain` before a load, so that every router has heard of it, in milliseconds. */
  drainSettleMs: number
  /** Longest wait for requests in flight to end, in milliseconds. */
  drainBoundMs: number
  /** Silence of a dead endpoint after which its slot is given up, in milliseconds. */
  slotSilenceMs: number
  /** Failed loads one after another that halt a roll-out. */
  maxFailuresInRow: number
}

/** Bounds for routers that hear of a mark within two seconds. */
export const DEFAULT_PLANNER_OPTIONS: PlannerOptions = { drainSettleMs: 2_000, drainBoundMs: 30_000, slotSilenceMs: 10_000, maxFailuresInRow: 3 }

/** One endpoint of the pool in the planner's own data centre. */
export interface PlannedEndpoint {
  endpoint: EndpointName
  /** The operator asked that it be drained. */
  draining: boolean
  /** Null until it was first heard. */
  view: EndpointView | null
  /** What the VMs tell each other, and so what routers go by; the same as `view` for an endpoint that was not asked itself. */
  told: EndpointView | null
  /** Not heard for so long that nothing waits for it. */
  isGone: boolean
  /** How long it has been seen in role `drain`, in milliseconds; 0 when it is not. */
  drainedForMs: number
  /** An order is on its way, or was answered after the view was made. */
  isBusy: boolean
  /** Weights of the last order that this holder knows to be taken by this incarnation; null before the first. */
  confirmed: WeightsTarget | null
}

/** State of another data centre's lease, as seen from here. */
export type PeerLease =
  /** Its holder renews it, and its counts hold. */
  | 'fresh'
  /** It is not renewed, so its counts may be old; its holder may still act, and its orders run. */
  | 'lapsed'
  /** It lapsed so long ago that no order runs; its slots are free. */
  | 'gone'

/** Another data centre with endpoints of the pool. */
export interface PeerDataCentre {
  dataCentre: DataCentreId
  lease: PeerLease
}

/** All that the planner looks at. */
export interface PoolInput {
  goal: PoolGoal
  dataCentre: DataCentreId
  endpoints: PlannedEndpoint[]
  peers: PeerDataCentre[]
  row: RolloutRow
  /** Resource revision of the goal. */
  revision: Revision
}

/** What is to happen next. */
export interface PoolPlan {
  /** New durable state, null when it stays as it is. */
  row: RolloutRow | null
  /** Orders for slots that are durable already. */
  orders: EndpointOrder[]
  /** Every endpoint of the pool has the roll-out's weights: make them those in force. */
  isComplete: boolean
}
