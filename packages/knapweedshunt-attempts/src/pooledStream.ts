import type { StreamVersion } from './streamVersionTable.ts'

/** A stream of a pool and the software version of the endpoint that began it. */
export interface PooledStream extends StreamVersion {
  pool: string
}
