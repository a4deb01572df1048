import type { PrefixLevel } from 'knapweedshunt-types'
import type { CallerCall, CallerIdentity } from '../ports/callerCall.ts'
import type { GatewayRoute } from '../ports/gatewayConfig.ts'
import type { RequestBody } from '../endpoints/attempt.ts'

/** A checked request with all that its attempts need. */
export interface RequestPlan {
  call: CallerCall
  route: GatewayRoute
  identity: CallerIdentity | null
  body: RequestBody
  /** Caller's end-to-end headers, flat pairs. */
  headers: string[]
  /** All levels of the prompt, outermost first; empty without a prompt. */
  levels: PrefixLevel[]
  pool: string
  /** Equal for each repetition by one caller. */
  fingerprint: string
  /** By the monotonic clock, milliseconds. */
  arrivedAtMs: number
  /** End of the caller's patience or of the route's time, by the monotonic clock. */
  deadlineAtMs: number
  configRevision: number
}
