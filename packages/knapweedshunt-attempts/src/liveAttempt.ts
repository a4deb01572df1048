import type { AttemptId, EndpointName, Incarnation, WeightsVersion } from 'knapweedshunt-types'

/** One attempt that is not over. */
export interface LiveAttempt {
  attempt: AttemptId
  /** Null until it was placed. */
  endpoint: EndpointName | null
  incarnation: Incarnation
  /** Empty until the head came. */
  weightsVersion: WeightsVersion
}
