import type { DataCentreId } from 'knapweedshunt-types'
import { DEFAULT_LEASE_OPTIONS } from './leaseOptions.ts'
import type { LeaseOptions } from './leaseOptions.ts'
import { DEFAULT_PLANNER_OPTIONS } from './plannerTypes.ts'
import type { PlannerOptions } from './plannerTypes.ts'

/** Options of one data centre's fleet task. */
export interface FleetOptions {
  dataCentre: DataCentreId
  lease: LeaseOptions
  planner: PlannerOptions
  /** Time between two plans, in milliseconds. */
  stepMs: number
  /** Longest time by which a view made from gossip is older than its age says: poll, timeout and hops; in milliseconds. */
  reportLagMs: number
  /** VMs of a data centre that contend for its lease. */
  contenders: number
  /** How long an endpoint is without weights before the first VM brings them back without a lease, in milliseconds. */
  recoveryDelayMs: number
  /** Further delay for each place in the rank, in milliseconds. */
  recoveryRankMs: number
}

/** Options for endpoints about a millisecond away. */
export const DEFAULT_FLEET_OPTIONS: FleetOptions = {
  dataCentre: 'dc-1',
  lease: DEFAULT_LEASE_OPTIONS,
  planner: DEFAULT_PLANNER_OPTIONS,
  stepMs: 500,
  reportLagMs: 4_000,
  contenders: 3,
  recoveryDelayMs: 3_000,
  recoveryRankMs: 3_000
}
