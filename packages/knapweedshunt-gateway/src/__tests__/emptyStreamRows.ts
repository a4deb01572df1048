import type { StreamRowReader } from '../peers/streamRowReader.ts'
import type { StreamRows } from '../peers/streamRows.ts'

/** Rows of streams of VMs that store none, so that what is known of a stream comes from other VMs alone. */
export const EMPTY_STREAM_ROWS = {
  streamRows: { add: () => {}, waitUntilRestored: async () => {} } as unknown as StreamRows,
  streamRowReader: { find: async () => null } as unknown as StreamRowReader
}
