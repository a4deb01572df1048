import type { DataCentreId, VmId } from 'knapweedshunt-types'
import { groupBy, hashText } from 'knapweedshunt-utils'

/** A VM that may hold what others need to know of streams. */
export interface HolderCandidate {
  vm: VmId
  dataCentre: DataCentreId
}

/** Ranks VMs by rendezvous hashing, the first of each data centre before all others. */
export function rankCandidates<T extends HolderCandidate> (key: string, candidates: T[]): T[] {
  const ranked = candidates.map(candidate => ({ candidate, rank: hashText(key, candidate.vm) })).sort((a, b) => a.rank < b.rank ? -1 : 1).map(({ candidate }) => candidate)
  const firstInDataCentre = new Set([...groupBy(ranked, candidate => candidate.dataCentre).values()].map(([first]) => first))
  return [...firstInDataCentre, ...ranked.filter(candidate => !firstInDataCentre.has(candidate))]
}
