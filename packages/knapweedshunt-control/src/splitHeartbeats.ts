import type { VmDelta, VmVersions } from 'knapweedshunt-membership'

/** Deltas, and the versions of those VMs of which nothing else is new. */
export interface SplitDeltas {
  deltas: VmDelta[]
  beats: VmVersions
}

/** Splits off the deltas that hold a version only: as a record they take half the bytes. */
export function splitBeats (all: VmDelta[]): SplitDeltas {
  const isBeat = (delta: VmDelta) => Object.keys(delta).length === 2
  return {
    deltas: all.filter(delta => !isBeat(delta)),
    beats: Object.fromEntries(all.filter(isBeat).map(({ k, v }) => [k, v]))
  }
}

/** Joins what {@link splitBeats} split. */
export function joinBeats (deltas: VmDelta[], beats: VmVersions): VmDelta[] {
  return [...deltas, ...Object.entries(beats).map(([k, v]) => ({ k, v }))]
}
