import type { EndpointRole, Incarnation, WeightsVersion } from 'knapweedshunt-types'

/** Start, weights and role of an endpoint: what seldom changes. */
export interface EndpointBoot {
  /** Index of the endpoint in the sorted names of the data centre. */
  i: number
  incarnation: Incarnation
  weightsVersion: WeightsVersion | null
  adapter?: string
  role?: EndpointRole
}

/** Numbers of one row of {@link EndpointBoardDelta.rows}: index in the sorted names, running, queued, queued tokens in units of {@link TOKENS_UNIT}. */
export const ROW_NUMBERS = 4

/** Unit of queued prompt tokens in messages. */
export const TOKENS_UNIT = 256

/** What is new of the endpoints that one VM polls. */
export interface EndpointBoardDelta {
  /** Hash of the sorted names, left out when it did not change; a reader with other names drops the rows. */
  set?: string
  /** Loads, one row after the other. */
  rows?: number[]
  boots?: EndpointBoot[]
  /** Indexes of the endpoints that are suspect or dead for the teller, all of them. */
  down?: number[]
  /** Indexes of those that are dead, all of them. */
  dead?: number[]
}
