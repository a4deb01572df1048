import type { AttemptOutcome, LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import type { ResponseBody } from './readResponseBody.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Why another endpoint is asked to take over from the current attempt. */
export type SuccessionCause = typeof LOSS_REASON.silent | typeof LOSS_REASON.moved

/** A response whose head has arrived. */
export type AnsweredOutcome = Extract<AttemptOutcome, { type: 'answered' }>

/** A successor that serves the request; the current attempt must be ended at once, so that only one goes on. `body` is what was read of the response; null for a stream. */
export interface TakenSuccession { type: 'taken', runningAttempt: RunningAttempt, outcome: AnsweredOutcome, body: ResponseBody | null }

/** Whether another endpoint has taken over. */
export type SuccessionResult = TakenSuccession | { type: 'failed', reason: string }

/** Which endpoint was asked to take over, and why; the endpoint is empty if none was chosen. */
export interface AskedSuccession {
  cause: SuccessionCause
  endpoint: string
}
