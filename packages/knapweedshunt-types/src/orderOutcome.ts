import type { ExecutionState } from './executionState.ts'

/** Stored answer of an order that ran, replayed when the order is sent again. */
export interface RecordedAnswer {
  /** HTTP status code. */
  status: number
  contentType: string
  body: string
}

/** Known outcome of an order. */
export interface OrderOutcome {
  ran: ExecutionState
  /** Present if `ran` is `ran` and the complete answer was stored. */
  answer?: RecordedAnswer
}
