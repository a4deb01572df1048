import type { Attempt } from '../endpoints/attempt.ts'
import type { AttemptTarget } from './attemptTarget.ts'

/** An attempt in flight. */
export interface RunningAttempt {
  attempt: Attempt
  target: AttemptTarget
  /** Software version of the endpoint that serves the attempt; null until another VM has said which one that is. */
  softwareVersion: string | null
  /** Version of the prompt's weights that the endpoint was known to serve; null on routes without prefixes, and for another VM. */
  weightsVersion: number | null
  /** Endpoint that serves the attempt; empty until another VM has said which one that is. */
  endpoint: string
  attemptNumber: number
  /** Number of endpoints for which the attempt counts towards the route's limit. */
  countedEndpoints: number
  startedAtMs: number
  /** Prompt tokens that the endpoint is known to compute before its first token, without other work of this VM; null if that is not known. */
  soloPromptTokens: number | null
  attemptId: string
}
