import type { EndpointState } from './endpointState.ts'
import type { KeyTable } from './keyTable.ts'
import type { PlacementEvent } from './placementTypes.ts'

/** Applies entries of an endpoint's cache event stream. Duplicate and late entries are ignored; a gap invalidates all observations made from the stream before it. */
export function applyCacheEvents (event: Extract<PlacementEvent, { type: 'cacheEvents' }>, state: EndpointState, table: KeyTable, nowMs: number): void {
  const atMs = nowMs - event.lagMs
  for (const { n, type, key } of event.entries) {
    const last = state.lastCacheEventNumber
    if (last !== null && n <= last) continue
    if (last !== null && n > last + 1) state.cacheStreamEpoch++
    state.lastCacheEventNumber = n
    table.find(key)?.recordObservation({ state, isCached: type === 'stored', atMs, attempt: null, cacheStreamEpoch: state.cacheStreamEpoch })
  }
}
