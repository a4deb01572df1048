import type http from 'node:http'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import type { ResponseHead } from '../ports/endpointPort.ts'

/** Why an attempt ended without a usable response. */
export const LOSS_REASON = {
  /** The connection ended before the head of the response was complete. */
  reset: 'reset',
  /** The connection ended after the head, before the response was complete. */
  cut: 'cut',
  /** No bytes arrived within the timeout. */
  silent: 'silent',
  /** The response is malformed or belongs to another request. */
  garbled: 'garbled',
  cancelled: 'cancelled',
  /** The body of the request ended before it was complete. */
  bodyEnded: 'bodyEnded',
  /** The endpoint is about to load weights; the stream resumes at another endpoint. */
  moved: 'moved',
  /** The endpoint's weights were replaced so long ago that no request may begin on them any more. */
  withdrawn: 'withdrawn'
} as const

/** One of {@link LOSS_REASON}. */
export type LossReason = typeof LOSS_REASON[keyof typeof LOSS_REASON]

/** What another VM says of the endpoint that served a request. */
export type ForwardedByPeer = Extract<RelayAnswer, { type: 'forwarded' }>

/** Refusal of the VM to which a request was sent. */
export type RefusedByPeer = Extract<RelayAnswer, { type: 'refused' }> & { status: number }

/** Outcome of an attempt up to the head of the response. */
export type AttemptOutcome =
  /** No byte of the request left this VM. */
  | { type: 'unsent', reason: string }
  /** The endpoint states that it did not run the request. */
  | { type: 'notRun', head: ResponseHead, status: number }
  /** No usable response; the request may have run. */
  | { type: 'lost', loss: LossReason, reason: string }
  /** The other VM to which the request was sent refused it. */
  | RefusedByPeer
  /** `relayedBy` is what the other VM says of the endpoint that served the request; null without one. */
  | { type: 'answered', head: ResponseHead, response: http.IncomingMessage, relayedBy: ForwardedByPeer | null }
