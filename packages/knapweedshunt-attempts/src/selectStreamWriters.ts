import { rankCandidates } from './rankCandidates.ts'
import type { HolderCandidate } from './rankCandidates.ts'

/** Number of VMs of which one writes streams to the store. */
const VMS_PER_WRITER = 8

/** Minimum number of writers; streams are stored although one or two of them do not answer. */
const MIN_WRITERS = 4

/** Maximum number of writers, which limits the writes to the store. */
const MAX_WRITERS = 50

/** Number of writers that store one stream. */
const WRITERS_PER_STREAM = 2

/** Key by which VMs are ranked as writers. */
const WRITERS_KEY = 'stream writers'

/** Counts the VMs of a deployment that write streams to the store. */
export function countStreamWriters (vms: number): number {
  return Math.min(MAX_WRITERS, Math.max(MIN_WRITERS, Math.ceil(vms / VMS_PER_WRITER)))
}

/** Selects the VMs that write streams to the store, in different data centres as far as there are any: VMs that know the same candidates select the same ones. */
export function selectStreamWriters<T extends HolderCandidate> (candidates: T[]): T[] {
  return rankCandidates(WRITERS_KEY, candidates).slice(0, countStreamWriters(candidates.length))
}

/** Selects the writers that store one stream. */
export function selectStoringWriters<T extends HolderCandidate> (key: string, writers: T[]): T[] {
  return rankCandidates(key, writers).slice(0, WRITERS_PER_STREAM)
}
