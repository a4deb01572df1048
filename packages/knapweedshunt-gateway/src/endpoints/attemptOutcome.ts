import type http from 'node:http'
import type { AnswerHead } from '../ports/endpointPort.ts'

/** Why no answer can be expected. */
export const LOSS = {
  reset: 'reset',
  /** Nothing came for too long. */
  silent: 'silent',
  /** What came is no answer to this request. */
  garbled: 'garbled',
  cancelled: 'cancelled',
  /** The endpoint is about to load weights; the stream goes on elsewhere. */
  moved: 'moved'
} as const

/** One of {@link LOSS}. */
export type Loss = typeof LOSS[keyof typeof LOSS]

/** What became of one attempt until its answer's head. */
export type AttemptOutcome =
  /** No byte left this VM. */
  | { type: 'unsent', reason: string }
  /** The endpoint says that it did not run the request. */
  | { type: 'notRun', head: AnswerHead, status: number }
  /** The request may have run. */
  | { type: 'lost', loss: Loss, reason: string }
  | { type: 'answered', head: AnswerHead, message: http.IncomingMessage }
