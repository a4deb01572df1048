import type { PoolName } from 'knapweedshunt-types'
import type { LostSummary } from './lostSummary.ts'

/** How many endpoints of a pool a VM reaches. */
export interface PoolReach {
  pool: PoolName
  reached: number
  known: number
  /** In an answer to a VM that asked about endpoints of the pool; VMs of earlier builds do not state it. */
  lost?: LostSummary | undefined
}
