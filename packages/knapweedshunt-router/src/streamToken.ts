import type { StreamVersions } from 'knapweedshunt-attempts'
import type { PoolName } from 'knapweedshunt-types'

/** What a caller brings back of a stream that it resumes. */
export interface StreamToken extends StreamVersions {
  pool: PoolName
}
