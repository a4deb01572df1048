import type { DataCentreId, VmId } from 'knapweedshunt-types'
import { groupBy, hashText } from 'knapweedshunt-utils'

/** Number of VMs that hold the software version of one stream. */
const MAX_HOLDERS = 3

/** A VM that may hold what others need to know of streams. */
export interface HolderCandidate {
  vm: VmId
  dataCentre: DataCentreId
}

/** Selects the VMs that hold a stream's software version, by rendezvous hashing: VMs that know the same candidates select the same ones, in different data centres as far as there are any. */
export function selectStreamHolders<T extends HolderCandidate> (key: string, candidates: T[]): T[] {
  const ranked = candidates.map(candidate => ({ candidate, rank: hashText(key, candidate.vm) })).sort((a, b) => a.rank < b.rank ? -1 : 1).map(({ candidate }) => candidate)
  const firstInDataCentre = [...groupBy(ranked, candidate => candidate.dataCentre).values()].map(([first]) => first)
  const others = ranked.filter(candidate => !firstInDataCentre.includes(candidate))
  return [...firstInDataCentre, ...others].slice(0, MAX_HOLDERS)
}
