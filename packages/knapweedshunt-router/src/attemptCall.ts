import type http from 'node:http'
import type { BackpressureSignals } from 'knapweedshunt-admission'
import type { AttemptEvent } from 'knapweedshunt-attempts'
import type { AttemptId } from 'knapweedshunt-types'
import type { BodyShare } from 'knapweedshunt-utils'
import type { CallerRequest } from './callerRequest.ts'

/** Longest time that an endpoint may send no token, in milliseconds. */
export interface StallLimits {
  firstTokenMs: number
  betweenTokensMs: number
}

/** One attempt of a request on one endpoint. */
export interface AttemptCall {
  attempt: AttemptId
  /** Base URL of the endpoint. */
  url: string
  request: CallerRequest
  /** Salt that the engine mixes into its cache keys; empty for services. */
  salt: string
  resumeFrom: number
  agent: http.Agent
  signal: AbortSignal
  /** Null for requests that may not be repeated, since no other endpoint may be asked for them. */
  stallLimits: StallLimits | null
  /** Memory for what is kept of the response; given back when the attempt has ended. */
  share: BodyShare
  /** Called once with the rate limit in the response head, in requests per second for all VMs together; null for none. */
  recordLimit (requestsPerS: number | null): void
  /** Called once with what the response head states of back-off, leaving and brittleness. */
  recordSignals (signals: BackpressureSignals): void
  /** Called with every event of the attempt; `end`, `answer`, `refused`, `rejected` and `broken` are final. */
  emit (event: AttemptEvent): void
  /** Resolves when the write buffer towards the caller has drained; null when there is nothing to wait for. */
  waitDrain (): Promise<void> | null
}
