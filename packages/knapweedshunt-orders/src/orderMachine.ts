import type { OrderAction } from './orderAction.ts'
import type { OrderEvent } from './orderEvent.ts'
import type { OrderState } from './orderState.ts'
import type { OrderContext, OrderStep, OrderTable } from './orderTable.ts'

type AnyCell = (context: OrderContext, state: OrderState, event: OrderEvent) => OrderStep

/** One run of an order on one router. Opens nothing. */
export class OrderMachine {
  readonly #table: OrderTable
  readonly #context: OrderContext
  #state: OrderState = { type: 'idle' }

  constructor (table: OrderTable, context: OrderContext) {
    this.#table = table
    this.#context = context
  }

  /** Present state. */
  get state (): OrderState {
    return this.#state
  }

  /** Takes an event; one that the state has no cell for is dropped. */
  take (event: OrderEvent): OrderAction[] {
    const cell = this.#table[this.#state.type][event.type] as AnyCell | undefined
    if (cell === undefined) return []
    const { state, actions } = cell(this.#context, this.#state, event)
    this.#state = state
    return actions
  }
}
