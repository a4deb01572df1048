import type { EndpointState } from './endpointState.ts'
import type { KeyTable } from './keyTable.ts'
import type { PlacementEvent } from './placementTypes.ts'

/** Takes entries of an endpoint's cache event stream. Doubled and late entries are ignored; after a gap nothing followed before counts. */
export function takeCacheEvents (event: Extract<PlacementEvent, { type: 'cacheEvents' }>, state: EndpointState, table: KeyTable, nowMs: number): void {
  const atMs = nowMs - event.lagMs
  for (const { n, type, key } of event.entries) {
    const last = state.lastCacheEvent
    if (last !== null && n <= last) continue
    if (last !== null && n > last + 1) state.followEpoch++
    state.lastCacheEvent = n
    table.find(key)?.noteEvidence({ state, present: type === 'stored', atMs, attempt: null, followEpoch: state.followEpoch })
  }
}
