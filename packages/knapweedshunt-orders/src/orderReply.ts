import type { Ran, RecordedAnswer } from 'knapweedshunt-types'

/** Why an order did not run. */
export type NotRunReason = 'no-endpoint' | 'refused' | 'deadline'

/** What a router says of an order. `ran`, `not-run` and `expired` are final; the others may be narrowed later. */
export type OrderReply =
  /** It ran once; `answer` is null when it was too long to keep. */
  | { type: 'ran', answer: RecordedAnswer | null }
  /** It did not run and never will under this key. */
  | { type: 'not-run', reason: NotRunReason }
  | { type: 'may-have-run' }
  | { type: 'in-progress' }
  /** The tables gave no answer, or have not taken what this process holds: the order may have run elsewhere, this attempt started nothing. */
  | { type: 'unreadable' }
  /** The key was used for another request. */
  | { type: 'mismatch' }
  /** The key is past its declared time and is not run again. */
  | { type: 'expired' }
  /** No order was placed under the key. Only on a status call. */
  | { type: 'unknown' }
  /** The ticket is malformed, forged or of another organisation. */
  | { type: 'ticket-invalid' }

/** What the reply says of the order for ever. */
export function describeRan (reply: OrderReply): Ran {
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
