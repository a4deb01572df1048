import type { Attempt } from '../endpoints/attempt.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'

/** An attempt in flight. */
export interface RunningAttempt {
  attempt: Attempt
  record: EndpointRecord
  attemptNumber: number
  startedAtMs: number
  attemptId: string
  expectedCachedTokens: number
  /** Salt under which the endpoint caches the prompt; null without a prompt. */
  cacheSalt: string | null
}
