import type { OrderAction } from './orderAction.ts'
import type { OrderEvent } from './orderEvent.ts'
import type { OrderState } from './orderState.ts'
import type { OrderContext, OrderStep, OrderTransitionTable } from './orderTransitionTable.ts'

type AnyTransition = (context: OrderContext, state: OrderState, event: OrderEvent) => OrderStep

/** State machine of one run of an order on one router. Performs no I/O: it returns the actions to perform. */
export class OrderStateMachine {
  readonly #table: OrderTransitionTable
  readonly #context: OrderContext
  #state: OrderState = { type: 'idle' }

  constructor (table: OrderTransitionTable, context: OrderContext) {
    this.#table = table
    this.#context = context
  }

  /** State after the last handled event. */
  get state (): OrderState {
    return this.#state
  }

  /** Applies an event and returns the actions to perform. An event that has no transition in the current state is ignored. */
  handleEvent (event: OrderEvent): OrderAction[] {
    const transition = this.#table[this.#state.type][event.type] as AnyTransition | undefined
    if (transition === undefined) return []
    const { state, actions } = transition(this.#context, this.#state, event)
    this.#state = state
    return actions
  }
}
