import type { StreamOriginsDependencies } from '../peers/streamOrigins.ts'

/** Rows of streams of VMs that store none, so that what is known of a stream comes from other VMs alone. */
export const EMPTY_STREAM_ROWS: Pick<StreamOriginsDependencies, 'streamRows' | 'streamRowReader'> = {
  streamRows: { store: async () => {}, isRestored: true, waitUntilRestored: async () => {} },
  streamRowReader: { find: async () => null }
}
