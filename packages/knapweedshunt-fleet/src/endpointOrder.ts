import type { EndpointName, EndpointRole, Incarnation } from 'knapweedshunt-types'
import type { WeightsTarget } from './weightsTarget.ts'

/** The state an endpoint is to have. Asking twice is the same as asking once. */
export type EndpointOrder =
  | { type: 'weights', endpoint: EndpointName, incarnation: Incarnation, weights: WeightsTarget }
  | { type: 'role', endpoint: EndpointName, incarnation: Incarnation, role: EndpointRole }

/** Outcome of an order. */
export type OrderResult =
  | 'taken'
  /** The endpoint knows a newer fencing number, or is another incarnation. */
  | 'refused'
  /** No answer: the order may run for its longest time. */
  | 'lost'
