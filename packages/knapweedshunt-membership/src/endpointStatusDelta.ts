import type { EndpointRole, Incarnation, WeightsVersion } from 'knapweedshunt-types'

/** Incarnation, weights, software version and role of an endpoint, which rarely change. */
export interface EndpointInfo {
  /** Index of the endpoint in the sorted names of the data centre. */
  i: number
  incarnation: Incarnation
  weightsVersion: WeightsVersion | null
  adapter?: string
  softwareVersion?: string
  role?: EndpointRole
}

/** Count of numbers in one row of {@link EndpointStatusDelta.rows}: index in the sorted names, running requests, queued requests, queued tokens in units of {@link TOKENS_PER_UNIT}. */
export const ROW_LENGTH = 4

/** Queued prompt tokens are sent in units of this many tokens, rounded up. */
export const TOKENS_PER_UNIT = 256

/** Changed endpoint states as one VM reports them. */
export interface EndpointStatusDelta {
  /** Hash of the sorted names, left out when unchanged; a receiver with other names ignores the report. */
  set?: string
  /** Loads, as concatenated rows of {@link ROW_LENGTH} numbers. */
  rows?: number[]
  /** Endpoints whose incarnation, weights, software version or role changed. */
  boots?: EndpointInfo[]
  /** Indexes of all endpoints that the sender considers suspect or dead. */
  down?: number[]
  /** Indexes of all endpoints that are dead by the sender's report. */
  dead?: number[]
  /** Indexes of all endpoints that do not answer the sender although it may be the sender that is cut off. Earlier builds do not send it. */
  lost?: number[]
  /** Indexes of all endpoints that answer the sender besides those for which it ranks first. Earlier builds do not send it. */
  extra?: number[]
}
