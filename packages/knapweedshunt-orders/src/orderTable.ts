import type { OrderAction } from './orderAction.ts'
import type { OrderEvent } from './orderEvent.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderState, SendingState } from './orderState.ts'
import type { RunOutcome } from './outcomeRow.ts'

/** What a run keeps unchanged. */
export interface OrderContext {
  /** Random id of the run; attempts are named after it. */
  nonce: string
  digest: string
  maxAttempts: number
  /** Most re-sends to an endpoint that runs a key once. */
  maxResends: number
}

/** Next state and what to do. */
export interface OrderStep {
  state: OrderState
  actions: OrderAction[]
}

type StateOf<S extends OrderState['type']> = Extract<OrderState, { type: S }>
type EventOf<E extends OrderEvent['type']> = Extract<OrderEvent, { type: E }>
type Cell<S extends OrderState['type'], E extends OrderEvent['type']> = (context: OrderContext, state: StateOf<S>, event: EventOf<E>) => OrderStep

/** Cells by state and event. An event without a cell is late or crossed, and is dropped. */
export type OrderTable = { [S in OrderState['type']]: { [E in OrderEvent['type']]?: Cell<S, E> } }

/** How orders run at most once. */
export const ORDER_TABLE: OrderTable = {
  idle: {
    started: (_context, _state, { place }) => place === 'here'
      ? { state: { type: 'claiming', version: 0, mayApply: false }, actions: [{ type: 'claim', version: 0 }] }
      : { state: { type: 'forwarding' }, actions: [{ type: 'forward' }] }
  },
  claiming: {
    claimed: (context, _state, { late }) => late ? closeNotRun('deadline') : startSending(context),
    known: answerKnown,
    lost: (_context, state) => ({ state: { ...state, mayApply: true }, actions: [{ type: 'delay' }] }),
    unsent: (_context, state) => closeUnclaimed(state.mayApply),
    delayed: (_context, state) => ({ state, actions: [{ type: 'claim', version: state.version }] }),
    patience: () => closeUnclaimed(true),
    deadline: () => closeUnclaimed(true)
  },
  sending: {
    placed: (_context, state, { attempt, safeAgain }) => keep(attempt === state.attempt ? { ...state, placed: true, safeAgain } : state),
    refused: (context, state, { attempt }) => attempt === state.attempt ? sendNext(context, state) : keep(state),
    unplaceable: (_context, state, { attempt }) => attempt === state.attempt ? closeUnsent(state, 'no-endpoint') : keep(state),
    broken: (context, state, { attempt }) => attempt === state.attempt ? sendAgain(context, state) : keep(state),
    answered: (_context, state, { attempt, answer }) => attempt === state.attempt ? close({ ran: 'ran', answer }, { type: 'ran', answer }) : keep(state),
    deadline: (_context, state) => state.placed || state.touched ? startLingering(state) : closeNotRun('deadline', [{ type: 'cancel', attempt: state.attempt }])
  },
  lingering: {
    answered: (_context, state, { attempt, answer }) => attempt === state.attempt ? closeQuietly({ ran: 'ran', answer }) : keep(state),
    broken: (_context, state, { attempt }) => attempt === state.attempt ? closeQuietly({ ran: 'may-have-run', answer: null }) : keep(state),
    refused: (_context, state, { attempt }) => attempt === state.attempt ? closeQuietly({ ran: 'may-have-run', answer: null }) : keep(state),
    lingered: (_context, state) => closeQuietly({ ran: 'may-have-run', answer: null }, [{ type: 'cancel', attempt: state.attempt }])
  },
  forwarding: {
    forwarded: (_context, _state, { reply }) => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply }] }),
    unforwarded: () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'may-have-run' } }] }),
    deadline: () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'may-have-run' } }] })
  },
  closed: {}
}

/** First attempt of a committed claim. */
export function startSending (context: OrderContext): OrderStep {
  const attempt = `${context.nonce}-1`
  return {
    state: { type: 'sending', attempt, attempts: 1, resends: 0, placed: false, safeAgain: false, touched: false },
    actions: [{ type: 'send', attempt, again: false }]
  }
}

function keep (state: OrderState): OrderStep {
  return { state, actions: [] }
}

function answerKnown (context: OrderContext, state: StateOf<'claiming'>, { present, outcome, expired }: EventOf<'known'>): OrderStep {
  const { claim, version } = present
  if (claim.state === 'released') return { state: { ...state, version }, actions: [{ type: 'claim', version }] }
  if (claim.digest !== context.digest) return closeAnswered({ type: 'mismatch' })
  if (expired) return closeAnswered({ type: 'expired' })
  return closeAnswered(outcome === null ? { type: 'in-progress' } : convertOutcome(outcome))
}

/** Says what a recorded outcome means. */
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

/** The owner sends nothing after this, so its claim can be voided, also one that takes effect later. */
function closeUnclaimed (mayApply: boolean): OrderStep {
  const release: OrderAction[] = mayApply ? [{ type: 'release' }] : []
  return { state: { type: 'closed' }, actions: [...release, { type: 'answer', reply: { type: 'unreadable' } }] }
}

function sendNext (context: OrderContext, state: SendingState): OrderStep {
  if (state.touched || state.attempts >= context.maxAttempts) return closeUnsent(state, 'no-endpoint')
  const attempts = state.attempts + 1
  const attempt = `${context.nonce}-${attempts}`
  return { state: { ...state, attempt, attempts, placed: false, safeAgain: false }, actions: [{ type: 'send', attempt, again: false }] }
}

function sendAgain (context: OrderContext, state: SendingState): OrderStep {
  if (!state.safeAgain || state.resends >= context.maxResends) return close({ ran: 'may-have-run', answer: null }, { type: 'may-have-run' })
  const attempts = state.attempts + 1
  const attempt = `${context.nonce}-${attempts}`
  return { state: { ...state, attempt, attempts, resends: state.resends + 1, touched: true }, actions: [{ type: 'send', attempt, again: true }] }
}

function closeUnsent (state: SendingState, reason: 'no-endpoint'): OrderStep {
  return state.touched ? close({ ran: 'may-have-run', answer: null }, { type: 'may-have-run' }) : closeNotRun(reason)
}

function startLingering (state: SendingState): OrderStep {
  return { state: { type: 'lingering', attempt: state.attempt }, actions: [{ type: 'linger' }, { type: 'answer', reply: { type: 'may-have-run' } }] }
}

function closeNotRun (reason: 'no-endpoint' | 'deadline', first: OrderAction[] = []): OrderStep {
  return close({ ran: 'not-run', answer: null }, { type: 'not-run', reason }, first)
}

function close (outcome: RunOutcome, reply: OrderReply, first: OrderAction[] = []): OrderStep {
  return closeQuietly(outcome, [...first, { type: 'answer', reply }])
}

function closeQuietly (outcome: RunOutcome, others: OrderAction[] = []): OrderStep {
  return { state: { type: 'closed' }, actions: [{ type: 'record', outcome }, ...others] }
}

function closeAnswered (reply: OrderReply): OrderStep {
  return { state: { type: 'closed' }, actions: [{ type: 'answer', reply }] }
}
