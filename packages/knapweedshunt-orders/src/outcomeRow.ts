import type { Incarnation, RecordedAnswer } from 'knapweedshunt-types'

/** Final result of one run. */
export interface RunOutcome {
  ran: 'ran' | 'not-run' | 'may-have-run'
  /** Null when no answer arrived or it was too long to keep. */
  answer: RecordedAnswer | null
}

/** Row of table `order-outcomes`. Only the router that owns the run inserts it, once. */
export interface OutcomeRow extends RunOutcome {
  digest: string
  owner: Incarnation
  recordedAtMs: number
}
