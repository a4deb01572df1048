import type { Incarnation, RecordedAnswer } from 'knapweedshunt-types'

/** Final result of one run. */
export interface RunOutcome {
  ran: 'ran' | 'not-run' | 'may-have-run'
  /** Null when nothing came back or it was too long to keep. */
  answer: RecordedAnswer | null
}

/** Row of table `order-outcomes`, inserted once by the run's owner. */
export interface OutcomeRow extends RunOutcome {
  digest: string
  owner: Incarnation
  recordedAtMs: number
}
