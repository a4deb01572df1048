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

/** Load of some endpoints, by column. Field names are short since they travel often. */
export interface LoadColumns {
  /** Indexes of the endpoints in the sorted names of the data centre. */
  i: number[]
  /** Running requests. */
  n: number[]
  /** Queued requests. */
  q: number[]
  /** Queued prompt tokens, in units of {@link TOKENS_UNIT}. */
  t: number[]
}

/** Unit of queued prompt tokens in messages. */
export const TOKENS_UNIT = 256

/** What is new of the endpoints that one VM polls. */
export interface EndpointBoardDelta {
  /** Hash of the sorted names; rows of another set are dropped. */
  set: string
  loads?: LoadColumns
  boots?: EndpointBoot[]
  /** Indexes of the endpoints that are suspect or dead for the teller, all of them. */
  down?: number[]
  /** Indexes of those that are dead, all of them. */
  dead?: number[]
}
