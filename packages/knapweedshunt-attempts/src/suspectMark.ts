import type { EndpointName } from 'knapweedshunt-types'

/** A crash that a request was in flight at; ages are of the moment of sending, in milliseconds. */
export interface MarkedCrash {
  endpoint: EndpointName
  startedAgeMs: number
  crashedAgeMs: number
}

/** What a router tells its peers of a request, named by the fingerprint of organisation and digest. */
export type SuspectMark =
  | { type: 'crashed', fingerprint: string, crashes: MarkedCrash[] }
  | { type: 'quarantined', fingerprint: string, forMs: number }
  /** The request ran alone without harm. */
  | { type: 'cleared', fingerprint: string }
