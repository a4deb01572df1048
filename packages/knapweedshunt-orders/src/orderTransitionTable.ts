import type { OrderAction } from './orderAction.ts'
import type { OrderEvent } from './orderEvent.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderState, SendingState } from './orderState.ts'
import type { RunOutcome } from './outcomeRow.ts'

/** Constants of one run, passed to every transition. */
export interface OrderContext {
  /** Random id of the run; prefix of its attempt ids. */
  nonce: string
  digest: string
  maxAttempts: number
  /** Maximum re-sends to an endpoint that checks idempotency keys. */
  maxResends: number
}

/** Result of a transition: next state, and actions in the order in which they are performed. */
export interface OrderStep {
  state: OrderState
  actions: OrderAction[]
}

type StateOf<S extends OrderState['type']> = Extract<OrderState, { type: S }>
type EventOf<E extends OrderEvent['type']> = Extract<OrderEvent, { type: E }>
type Transition<S extends OrderState['type'], E extends OrderEvent['type']> = (context: OrderContext, state: StateOf<S>, event: EventOf<E>) => OrderStep

/** Transitions by state and event. An event without a transition is late or out of order, and is ignored. */
export type OrderTransitionTable = { [S in OrderState['type']]: { [E in OrderEvent['type']]?: Transition<S, E> } }

/** State transition table that executes an order at most once. */
export const ORDER_TRANSITION_TABLE: OrderTransitionTable = {
  idle: {
    started: (_context, _state, { site }) => site === 'here'
      ? { state: { type: 'claiming', version: 0, mayApply: false }, actions: [{ type: 'claim', version: 0 }] }
      : { state: { type: 'forwarding' }, actions: [{ type: 'forward' }] }
  },
  claiming: {
    claimed: (context, _state, { isLate }) => isLate ? closeNotRun('deadline') : startSending(context),
    known: handleKnownClaim,
    lost: (_context, state) => ({ state: { ...state, mayApply: true }, actions: [{ type: 'delay' }] }),
    unsent: (_context, state) => abandonClaim(state.mayApply),
    'delay-elapsed': (_context, state) => ({ state, actions: [{ type: 'claim', version: state.version }] }),
    'claim-timeout': () => abandonClaim(true),
    deadline: () => abandonClaim(true)
  },
  sending: {
    placed: (_context, state, { attempt, canResend }) => keepState(attempt === state.attempt ? { ...state, placed: true, canResend } : state),
    refused: (context, state, { attempt }) => attempt === state.attempt ? sendToNextEndpoint(context, state) : keepState(state),
    unplaceable: (_context, state, { attempt }) => attempt === state.attempt ? closeUnplaced(state, 'no-endpoint') : keepState(state),
    broken: (context, state, { attempt }) => attempt === state.attempt ? resend(context, state) : keepState(state),
    answered: (_context, state, { attempt, answer }) => attempt === state.attempt ? closeWithOutcomeAndReply({ ran: 'ran', answer }, { type: 'ran', answer }) : keepState(state),
    deadline: (_context, state) => state.placed || state.mayHaveRun ? awaitLateAnswer(state) : closeNotRun('deadline', [{ type: 'cancel', attempt: state.attempt }])
  },
  'awaiting-late-answer': {
    answered: (_context, state, { attempt, answer }) => attempt === state.attempt ? closeWithOutcome({ ran: 'ran', answer }) : keepState(state),
    broken: (_context, state, { attempt }) => attempt === state.attempt ? closeWithOutcome({ ran: 'may-have-run', answer: null }) : keepState(state),
    refused: (_context, state, { attempt }) => attempt === state.attempt ? closeWithOutcome({ ran: 'may-have-run', answer: null }) : keepState(state),
    'late-answer-timeout': (_context, state) => closeWithOutcome({ ran: 'may-have-run', answer: null }, [{ type: 'cancel', attempt: state.attempt }])
  },
  forwarding: {
    forwarded: (_context, _state, { reply }) => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply }] }),
    'forward-failed': () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'may-have-run' } }] }),
    deadline: () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'may-have-run' } }] })
  },
  closed: {}
}

/** Sends the first attempt after the claim is committed. */
export function startSending (context: OrderContext): OrderStep {
  const attempt = `${context.nonce}-1`
  return {
    state: { type: 'sending', attempt, attempts: 1, resends: 0, placed: false, canResend: false, mayHaveRun: false },
    actions: [{ type: 'send', attempt, isResend: false }]
  }
}

function keepState (state: OrderState): OrderStep {
  return { state, actions: [] }
}

function handleKnownClaim (context: OrderContext, state: StateOf<'claiming'>, { present, outcome, expired }: EventOf<'known'>): OrderStep {
  const { claim, version } = present
  if (claim.state === 'released') return { state: { ...state, version }, actions: [{ type: 'claim', version }] }
  if (claim.digest !== context.digest) return closeWithReply({ type: 'mismatch' })
  if (expired) return closeWithReply({ type: 'expired' })
  return closeWithReply(outcome === null ? { type: 'in-progress' } : convertOutcome(outcome))
}

/** Converts a recorded outcome to a reply. Outcomes do not store why an order did not run, so the reason is always `refused`. */
export function convertOutcome (outcome: RunOutcome): OrderReply {
  switch (outcome.ran) {
    case 'ran':
      return { type: 'ran', answer: outcome.answer }
    case 'not-run':
      return { type: 'not-run', reason: 'refused' }
    case 'may-have-run':
      return { type: 'may-have-run' }
  }
}

/** Closes the run without sending. The claim can safely be released, even if its write takes effect later, because this run sends nothing afterwards. */
function abandonClaim (mayApply: boolean): OrderStep {
  const release: OrderAction[] = mayApply ? [{ type: 'release' }] : []
  return { state: { type: 'closed' }, actions: [...release, { type: 'answer', reply: { type: 'unreadable' } }] }
}

function sendToNextEndpoint (context: OrderContext, state: SendingState): OrderStep {
  if (state.mayHaveRun || state.attempts >= context.maxAttempts) return closeUnplaced(state, 'no-endpoint')
  const attempts = state.attempts + 1
  const attempt = `${context.nonce}-${attempts}`
  return { state: { ...state, attempt, attempts, placed: false, canResend: false }, actions: [{ type: 'send', attempt, isResend: false }] }
}

function resend (context: OrderContext, state: SendingState): OrderStep {
  if (!state.canResend || state.resends >= context.maxResends) return closeWithOutcomeAndReply({ ran: 'may-have-run', answer: null }, { type: 'may-have-run' })
  const attempts = state.attempts + 1
  const attempt = `${context.nonce}-${attempts}`
  return { state: { ...state, attempt, attempts, resends: state.resends + 1, mayHaveRun: true }, actions: [{ type: 'send', attempt, isResend: true }] }
}

function closeUnplaced (state: SendingState, reason: 'no-endpoint'): OrderStep {
  return state.mayHaveRun ? closeWithOutcomeAndReply({ ran: 'may-have-run', answer: null }, { type: 'may-have-run' }) : closeNotRun(reason)
}

function awaitLateAnswer (state: SendingState): OrderStep {
  return { state: { type: 'awaiting-late-answer', attempt: state.attempt }, actions: [{ type: 'await-late-answer' }, { type: 'answer', reply: { type: 'may-have-run' } }] }
}

function closeNotRun (reason: 'no-endpoint' | 'deadline', first: OrderAction[] = []): OrderStep {
  return closeWithOutcomeAndReply({ ran: 'not-run', answer: null }, { type: 'not-run', reason }, first)
}

function closeWithOutcomeAndReply (outcome: RunOutcome, reply: OrderReply, first: OrderAction[] = []): OrderStep {
  return closeWithOutcome(outcome, [...first, { type: 'answer', reply }])
}

function closeWithOutcome (outcome: RunOutcome, others: OrderAction[] = []): OrderStep {
  return { state: { type: 'closed' }, actions: [{ type: 'record', outcome }, ...others] }
}

function closeWithReply (reply: OrderReply): OrderStep {
  return { state: { type: 'closed' }, actions: [{ type: 'answer', reply }] }
}
