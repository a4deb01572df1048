import type { EndpointName } from 'knapweedshunt-types'

/** An endpoint crash during which the request was in flight. Ages are in milliseconds at the time of sending. */
export interface MarkedCrash {
  endpoint: EndpointName
  startedAgeMs: number
  crashedAgeMs: number
}

/** Message to peers about a suspect request, identified by the fingerprint of its organisation and digest. */
export type SuspectMark =
  | { type: 'crashed', fingerprint: string, crashes: MarkedCrash[] }
  | { type: 'quarantined', fingerprint: string, forMs: number }
  /** The suspect request succeeded, so it is no longer suspect. */
  | { type: 'cleared', fingerprint: string }
