import type { Attempt } from '../endpoints/attempt.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'

/** An attempt in flight. */
export interface RunningAttempt {
  attempt: Attempt
  record: EndpointRecord
  /** Software version of the endpoint when the request was sent. */
  softwareVersion: string
  attemptNumber: number
  startedAtMs: number
  attemptId: string
  expectedCachedTokens: number
  /** Salt under which the endpoint caches the prompt; null without a prompt. */
  cacheSalt: string | null
}
