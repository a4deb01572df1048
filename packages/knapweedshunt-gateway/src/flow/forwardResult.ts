import type { NextStep } from './nextStep.ts'
import type { TakenSuccession } from './succession.ts'

/** Result of forwarding: a next step, a response that was lost before any of it was forwarded, or a successor that goes on with the stream. */
export type ForwardResult = NextStep | { type: 'lost', reason: string } | { type: 'handedOver', taken: TakenSuccession }
