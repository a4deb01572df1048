import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { PeerView } from '../peers/peerAddress.ts'

/** Where an attempt was sent. */
export type AttemptTarget =
  /** `cacheSalt` is the salt under which the endpoint caches the prompt; null without a prompt. */
  | { type: 'endpoint', record: EndpointRecord, expectedCachedTokens: number, cacheSalt: string | null }
  /** Another VM, which sends the request to an endpoint. */
  | { type: 'peer', peer: PeerView }
