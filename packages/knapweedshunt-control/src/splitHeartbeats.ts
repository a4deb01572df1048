import type { VmDelta, VmVersions } from 'knapweedshunt-membership'

/** Deltas with content, and the versions of the VMs whose version alone has changed. */
export interface SplitDeltas {
  deltas: VmDelta[]
  heartbeats: VmVersions
}

/** Separates the deltas that carry only a version (key and version, two properties): encoded as a record they take half the bytes. */
export function splitHeartbeats (allDeltas: VmDelta[]): SplitDeltas {
  const isHeartbeat = (delta: VmDelta) => Object.keys(delta).length === 2
  return {
    deltas: allDeltas.filter(delta => !isHeartbeat(delta)),
    heartbeats: Object.fromEntries(allDeltas.filter(isHeartbeat).map(({ k, v }) => [k, v]))
  }
}

/** Restores the single list of deltas that {@link splitHeartbeats} separated. */
export function joinHeartbeats (deltas: VmDelta[], heartbeats: VmVersions): VmDelta[] {
  return [...deltas, ...Object.entries(heartbeats).map(([k, v]) => ({ k, v }))]
}
