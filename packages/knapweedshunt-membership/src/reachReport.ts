import type { PoolReach } from './poolReach.ts'

/** What a VM tells the others about the endpoints that it reaches. */
export interface ReachReport {
  pools: PoolReach[]
  /** Requests of other VMs that it serves at present. */
  relayedCount: number
}
