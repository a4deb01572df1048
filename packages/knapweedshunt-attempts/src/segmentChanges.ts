import type { StreamSegment } from './streamSegment.ts'

/** What the store lacks: segments that were opened or have grown, and ids of segments that are no longer needed. */
export interface SegmentChanges {
  changed: StreamSegment[]
  removedIds: string[]
}
