import type { ExecutionState, RecordedAnswer } from 'knapweedshunt-types'

/** Why an order did not run. `refused` also stands for a recorded outcome, which does not keep the reason. */
export type NotRunReason = 'no-endpoint' | 'refused' | 'deadline'

/** Reply of a router about an order. `ran`, `not-run` and `expired` are final; later replies may be more precise than the others. */
export type OrderReply =
  /** The order ran once; `answer` is null when it was too long to keep. */
  | { type: 'ran', answer: RecordedAnswer | null }
  /** The order did not run and never will under this key. */
  | { type: 'not-run', reason: NotRunReason }
  | { type: 'may-have-run' }
  | { type: 'in-progress' }
  /** The tables did not answer, or this process is shutting down or has too many unwritten outcomes. This request started nothing, but the order may have run on another router. */
  | { type: 'unreadable' }
  /** The key was used for a different request. */
  | { type: 'mismatch' }
  /** The key or ticket has expired and is not run again. */
  | { type: 'expired' }
  /** No order was placed under the key. Returned only by status calls. */
  | { type: 'unknown' }
  /** The ticket is malformed, has an invalid signature, or belongs to another organisation. */
  | { type: 'ticket-invalid' }

/** Reduces a reply to what callers are told about execution. Replies that do not settle it map to `may-have-run`. */
export function describeRan (reply: OrderReply): ExecutionState {
  switch (reply.type) {
    case 'ran':
    case 'not-run':
    case 'in-progress':
      return reply.type
    case 'unknown':
    case 'may-have-run':
    case 'unreadable':
    case 'mismatch':
    case 'expired':
    case 'ticket-invalid':
      return 'may-have-run'
  }
}
