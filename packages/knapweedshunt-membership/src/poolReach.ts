import type { PoolName } from 'knapweedshunt-types'

/** How many endpoints of a pool a VM reaches. */
export interface PoolReach {
  pool: PoolName
  reached: number
  known: number
}
