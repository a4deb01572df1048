import type { EndpointName, EndpointRole, Incarnation } from 'knapweedshunt-types'
import type { WeightsTarget } from './weightsTarget.ts'

/** State that an endpoint is commanded to reach. Commands are idempotent. */
export type EndpointCommand =
  | { type: 'weights', endpoint: EndpointName, incarnation: Incarnation, weights: WeightsTarget }
  | { type: 'role', endpoint: EndpointName, incarnation: Incarnation, role: EndpointRole }

/** Outcome of a command. */
export type CommandResult =
  | 'taken'
  /** The endpoint has accepted a higher fencing token, or is another incarnation. */
  | 'refused'
  /** No answer: the command may still run until its maximum duration has passed. */
  | 'lost'
