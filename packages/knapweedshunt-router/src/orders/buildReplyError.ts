import { describeRan } from 'knapweedshunt-orders'
import type { NotRunReason, OrderReply } from 'knapweedshunt-orders'
import { createCallerError } from '../callerError.ts'
import type { CallerErrorInstance } from '../callerError.ts'

const RETRY_AFTER_MS = 1_000

/** Converts a reply without an answer to the caller's error. `refusal` is the error with which admission or the quarantine check refused this run, null when neither did. */
export function buildReplyError (reply: OrderReply, refusal: CallerErrorInstance | null): CallerErrorInstance {
  const ran = describeRan(reply)
  switch (reply.type) {
    case 'not-run':
      return buildNotRunError(reply.reason, refusal)
    case 'ran':
      return createCallerError('order_ran', 'The order ran; its answer was too long to keep.', ran)
    case 'may-have-run':
      return createCallerError('order_may_have_run', 'The order may have run, and its answer is not known: ask for its outcome later, and do not place it anew before you know.', ran, RETRY_AFTER_MS)
    case 'in-progress':
      return createCallerError('order_in_progress', 'The order is running: ask for its outcome later.', ran, RETRY_AFTER_MS)
    case 'unreadable':
      return createCallerError('order_store_unreadable', 'The order store does not answer; this attempt started nothing. Ask again with the same key.', ran, RETRY_AFTER_MS)
    case 'mismatch':
      return createCallerError('idempotency_key_reused', 'The key or ticket was used for another request: choose a new one.', ran)
    case 'expired':
      return createCallerError('order_key_expired', 'The key or ticket is past its time and is not run again: place a new order with a new one.', ran)
    case 'unknown':
      return createCallerError('order_unknown', 'There is no order under this key or ticket.', ran)
    case 'ticket-invalid':
      return createCallerError('ticket_invalid', 'The ticket is not one of this system for your organisation: send it as POST /v1/tickets gave it.', ran)
  }
}

function buildNotRunError (reason: NotRunReason, refusal: CallerErrorInstance | null): CallerErrorInstance {
  const message = 'The order did not run and will not run under this key: place it again with a new one.'
  if (refusal !== null) return createCallerError(refusal.code, message, 'not-run', refusal.retryAfterMs ?? RETRY_AFTER_MS)
  switch (reason) {
    case 'no-endpoint':
      return createCallerError('no_endpoint', message, 'not-run', RETRY_AFTER_MS)
    case 'deadline':
      return createCallerError('deadline_exceeded', message, 'not-run', RETRY_AFTER_MS)
    case 'refused':
      return createCallerError('order_not_run', message, 'not-run', RETRY_AFTER_MS)
  }
}
