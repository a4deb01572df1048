import type http from 'node:http'
import type { AttemptEvent } from 'knapweedshunt-attempts'
import type { AttemptId } from 'knapweedshunt-types'
import type { CallerRequest } from './callerRequest.ts'

/** Longest silences of an endpoint, in milliseconds. */
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
  /** Null where silence is no reason to move on. */
  stall: StallLimits | null
  /** Gets every event of the attempt; after `end`, `answer`, `refused`, `rejected`, `broken` or `stalled` comes none. */
  emit (event: AttemptEvent): void
  /** Resolves when the caller has taken what was delivered; null when it has already. */
  waitDrain (): Promise<void> | null
}
