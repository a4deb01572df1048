import type { StreamVersions } from 'knapweedshunt-attempts'
import type { PoolName, VmId } from 'knapweedshunt-types'

/** What a router tells another one about an attempt that it asks that router to serve. */
export interface RelayedAttempt extends StreamVersions {
  from: VmId
  pool: PoolName
  repeatable: boolean
  /** Number of the first token to deliver. */
  resumeFrom: number
}
