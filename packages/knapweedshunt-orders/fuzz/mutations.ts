import { ORDER_TRANSITION_TABLE, startSending } from 'knapweedshunt-orders'
import type { OrderTransitionTable } from 'knapweedshunt-orders'

/** Copies of the state transition table that each lack one safeguard. The fuzz test must detect every one of them. */
export const MUTATIONS = {
  /** Sends without claiming the order first. */
  claim: {
    ...ORDER_TRANSITION_TABLE,
    idle: { started: (context, state, event) => event.site === 'here' ? startSending(context) : ORDER_TRANSITION_TABLE.idle.started!(context, state, event) }
  },
  /** Treats a claim whose response was lost as committed, without claiming again to find out. */
  readBack: {
    ...ORDER_TRANSITION_TABLE,
    claiming: { ...ORDER_TRANSITION_TABLE.claiming, lost: context => startSending(context) }
  },
  /** Runs a pinned ticket on any router. */
  pinning: {
    ...ORDER_TRANSITION_TABLE,
    idle: { started: (context, state) => ORDER_TRANSITION_TABLE.idle.started!(context, state, { type: 'started', site: 'here' }) }
  },
  /** Leaves no tombstone when it abandons a claim. */
  tombstone: {
    ...ORDER_TRANSITION_TABLE,
    claiming: {
      ...ORDER_TRANSITION_TABLE.claiming,
      unsent: () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'unreadable' } }] }),
      'claim-timeout': () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'unreadable' } }] }),
      deadline: () => ({ state: { type: 'closed' }, actions: [{ type: 'answer', reply: { type: 'unreadable' } }] })
    }
  }
} as const satisfies Record<string, OrderTransitionTable>

/** Name of a {@link MUTATIONS} entry. */
export type Mutation = keyof typeof MUTATIONS
