import type { PooledStream } from './pooledStream.ts'

/** Streams that are stored together. */
export interface StreamSegment {
  id: string
  streams: readonly PooledStream[]
}
