/** Why an endpoint of a pool may not be sent a request now; `free` if it may. */
export type CandidateState = 'free' | 'otherVersion' | 'draining' | 'tried' | 'loading' | 'replacedWeights' | 'full' | 'unreached' | 'limited'

const STATE_NAMES: Record<CandidateState, string> = {
  free: 'free',
  otherVersion: 'of another software version',
  draining: 'draining',
  tried: 'tried',
  loading: 'loading',
  replacedWeights: 'with weights that are too old',
  full: 'full',
  unreached: 'unreached',
  limited: 'limited or backing off'
}

/** Number of a pool's endpoints in each state; each endpoint counts once, in its first state that applies. */
export type CandidateCounts = ReadonlyMap<CandidateState, number>

/** Counts endpoints by state. */
export function countCandidates (states: CandidateState[]): CandidateCounts {
  const counts = new Map<CandidateState, number>()
  for (const state of states) counts.set(state, (counts.get(state) ?? 0) + 1)
  return counts
}

/** Formats counts for a log line: `9 replaced weights, 3 loading, 1 tried`. */
export function formatCandidates (counts: CandidateCounts): string {
  return [...counts].map(([state, count]) => `${count} ${STATE_NAMES[state]}`).join(', ') || 'none'
}
