import { ORDER_TABLE, startSending } from 'knapweedshunt-orders'
import type { OrderTable } from 'knapweedshunt-orders'

/** Copies of the table that each lack one safeguard. The fuzz must find every one of them. */
export const MUTATIONS = {
  /** Sends without a claim. */
  claim: {
    ...ORDER_TABLE,
    idle: { started: (context, state, event) => event.place === 'here' ? startSending(context) : ORDER_TABLE.idle.started!(context, state, event) }
  },
  /** Takes a lost answer for a claim of its own, without reading it back. */
  readBack: {
    ...ORDER_TABLE,
    claiming: { ...ORDER_TABLE.claiming, lost: context => startSending(context) }
  },
  /** Runs a pinned ticket on any router. */
  pinning: {
    ...ORDER_TABLE,
    idle: { started: (context, state) => ORDER_TABLE.idle.started!(context, state, { type: 'started', place: 'here' }) }
  },
  /** Leaves no tombstone when it gives up a claim. */
  tombstone: {
    ...ORDER_TABLE,
    claiming: {
      ...ORDER_TABLE.claiming,
      unsent: () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'unreadable' } }] }),
      patience: () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'unreadable' } }] }),
      deadline: () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'unreadable' } }] })
    }
  }
} as const satisfies Record<string, OrderTable>

/** Name of a {@link MUTATIONS} entry. */
export type Mutation = keyof typeof MUTATIONS
