import { rankCandidates } from './rankCandidates.ts'
import type { HolderCandidate } from './rankCandidates.ts'

/** Number of VMs of which one writes streams to the store. */
const VMS_PER_WRITER = 8

/** Minimum number of writers, so that streams are stored although one or two VMs do not answer. */
const MIN_WRITERS = 4

/** Maximum number of writers; together they use half of the writes that the store accepts. */
const MAX_WRITERS = 50

/** Number of writers that store one stream. */
const COPIES = 2

const WRITERS_KEY = 'stream writers'

/** Selects the VMs that write streams to the store, in different data centres as far as there are any: VMs that know the same candidates select the same ones. */
export function selectStreamWriters<T extends HolderCandidate> (candidates: T[]): T[] {
  const count = Math.min(MAX_WRITERS, Math.max(MIN_WRITERS, Math.ceil(candidates.length / VMS_PER_WRITER)))
  return rankCandidates(WRITERS_KEY, candidates).slice(0, count)
}

/** Selects the writers that store one stream. */
export function selectStoringWriters<T extends HolderCandidate> (key: string, writers: T[]): T[] {
  return rankCandidates(key, writers).slice(0, COPIES)
}
