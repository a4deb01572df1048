import type { UnwrittenOutcome } from './closedBook.ts'
import type { OrderRequest } from './orderRequest.ts'

/** Outcomes of this process that the tables don't have yet. */
export class UnwrittenOutcomes {
  readonly #outcomes = new Map<string, UnwrittenOutcome>()

  get size (): number {
    return this.#outcomes.size
  }

  add (outcome: UnwrittenOutcome): void {
    this.#outcomes.set(nameOrder(outcome.order), outcome)
  }

  delete (order: OrderRequest): void {
    this.#outcomes.delete(nameOrder(order))
  }

  find (order: Pick<OrderRequest, 'organisation' | 'key'>): UnwrittenOutcome | null {
    return this.#outcomes.get(nameOrder(order)) ?? null
  }

  list (): UnwrittenOutcome[] {
    return [...this.#outcomes.values()]
  }
}

function nameOrder ({ organisation, key }: Pick<OrderRequest, 'organisation' | 'key'>): string {
  return JSON.stringify([organisation, key])
}
