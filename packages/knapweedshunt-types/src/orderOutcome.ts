import type { Ran } from './ran.ts'

/** Recorded answer of an order that ran. */
export interface RecordedAnswer {
  /** HTTP status. */
  status: number
  contentType: string
  body: string
}

/** What is known of an order. */
export interface OrderOutcome {
  ran: Ran
  /** Present when `ran` is `ran` and the whole answer was kept. */
  answer?: RecordedAnswer
}
