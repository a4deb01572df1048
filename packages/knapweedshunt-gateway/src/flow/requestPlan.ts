import type { PrefixLevel } from 'knapweedshunt-types'
import type { CallerCall, CallerIdentity } from '../ports/callerCall.ts'
import type { GatewayRoute } from '../ports/gatewayConfig.ts'
import type { RelayedRequest } from '../peers/relayedRequest.ts'
import type { RequestBody } from '../endpoints/attempt.ts'

/** A checked request with all data that its attempts need. */
export interface RequestPlan {
  call: CallerCall
  route: GatewayRoute
  identity: CallerIdentity | null
  body: RequestBody
  /** End-to-end headers of the caller, as a flat list of names and values. */
  headers: string[]
  /** All prefix levels of the prompt, outermost first; empty without a prompt. */
  levels: PrefixLevel[]
  /** Parts of the prompt that other requests may hold too, outermost first; each identifies the part alone, at whatever depth it stands. */
  sharedParts: string[]
  pool: string
  /** Of the organisation, or else of the route; 0 is served first. */
  priority: number
  /** Identifies repetitions of the same request by one organisation. */
  fingerprint: string
  /** Arrival time by the monotonic clock, in milliseconds. */
  arrivedAtMs: number
  /** Earlier of the caller's deadline and the route's timeout, by the monotonic clock, in milliseconds. */
  deadlineAtMs: number
  configRevision: number
  /** Units taken from the limit of the organisation; null if it has none, or if another VM took them. */
  takenUsage: number | null
  /** What the VM that relayed the request says; null for a request of a caller. */
  relayed: RelayedRequest | null
}
