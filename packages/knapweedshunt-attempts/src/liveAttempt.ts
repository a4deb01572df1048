import type { AttemptId, EndpointName, Incarnation, WeightsVersion } from 'knapweedshunt-types'

/** An attempt that has not ended. */
export interface LiveAttempt {
  attempt: AttemptId
  /** Null until the attempt is placed. */
  endpoint: EndpointName | null
  incarnation: Incarnation
  /** Empty until the response head was received. */
  weightsVersion: WeightsVersion
  /** Empty until the head of the response, and if not stated. */
  softwareVersion: string
}
