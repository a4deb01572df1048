import type { Attempt } from '../endpoints/attempt.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'

/** One attempt that is under way. */
export interface AttemptRun {
  attempt: Attempt
  record: EndpointRecord
  number: number
  startedAtMs: number
  id: string
  expectedCachedTokens: number
  /** Salt under which the endpoint keeps the prompt, null without a prompt. */
  salt: string | null
}
