import type { DataCentreId } from 'knapweedshunt-types'
import { DEFAULT_LEASE_OPTIONS } from './leaseOptions.ts'
import type { LeaseOptions } from './leaseOptions.ts'
import { DEFAULT_PLANNER_OPTIONS } from './plannerTypes.ts'
import type { PlannerOptions } from './plannerTypes.ts'

/** Options of one data centre's fleet and recovery tasks. */
export interface FleetOptions {
  dataCentre: DataCentreId
  lease: LeaseOptions
  planner: PlannerOptions
  /** Time between two plans, in milliseconds. */
  planIntervalMs: number
  /** Maximum by which a view received through gossip is older than its recorded age, in milliseconds: poll interval, timeout and hops. */
  gossipLagMs: number
  /** Number of VMs in a data centre that contend for its lease. */
  maxContenders: number
  /** Time for which an endpoint has been without weights before the VM of rank 0 reloads them without a lease, in milliseconds. */
  recoveryDelayMs: number
  /** Additional delay per rank of the VM, in milliseconds. */
  recoveryRankDelayMs: number
}

/** Defaults for endpoints with a round-trip time of about a millisecond. */
export const DEFAULT_FLEET_OPTIONS: FleetOptions = {
  dataCentre: 'dc-1',
  lease: DEFAULT_LEASE_OPTIONS,
  planner: DEFAULT_PLANNER_OPTIONS,
  planIntervalMs: 500,
  gossipLagMs: 4_000,
  maxContenders: 3,
  recoveryDelayMs: 3_000,
  recoveryRankDelayMs: 3_000
}
