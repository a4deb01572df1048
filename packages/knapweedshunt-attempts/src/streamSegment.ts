import type { StreamVersion } from './streamVersionTable.ts'

/** A stream of a pool and the software version of the endpoint that began it. */
export interface PooledStream extends StreamVersion {
  pool: string
}

/** Streams that are stored together. */
export interface StreamSegment {
  id: string
  streams: readonly PooledStream[]
}

/** What the store lacks: segments that were opened or have grown, and ids of segments that are no longer needed. */
export interface SegmentChanges {
  changed: StreamSegment[]
  removedIds: string[]
}
