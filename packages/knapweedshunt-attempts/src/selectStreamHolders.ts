import { rankCandidates } from './rankCandidates.ts'
import type { HolderCandidate } from './rankCandidates.ts'

/** Number of VMs that hold the software version of one stream. */
const MAX_HOLDERS = 3

/** Selects the VMs that hold a stream's software version, by rendezvous hashing: VMs that know the same candidates select the same ones, in different data centres as far as there are any. */
export function selectStreamHolders<T extends HolderCandidate> (key: string, candidates: T[]): T[] {
  return rankCandidates(key, candidates).slice(0, MAX_HOLDERS)
}
