import type { OrganisationName } from 'knapweedshunt-types'

/** One part of a prompt that other requests may share. */
export interface PromptPart {
  id: string
  tokens: number
}

/** What a request says of its prompt. */
export interface Prompt {
  model: string
  /** Outermost part first; the last one belongs to the request or its session. */
  parts: PromptPart[]
  /** Tokens of the whole prompt. */
  tokens: number
}

/** Head of a caller's request as the deployment's protocol gives it. */
export interface CallerCall {
  /** Name that the caller gave the request; new for each of its tries. */
  requestId: string
  /** Lower case, without a port. */
  host: string
  method: string
  /** Path and query as received. */
  target: string
  /** Path without the query. */
  path: string
  /** Access key, null when none was sent. */
  key: string | null
  /** How long the caller will wait from the arrival, in milliseconds; null when it does not say. */
  timeLeftMs: number | null
  prompt: Prompt | null
  /** Id of the last stream event that the caller has, null for a whole stream. */
  lastEventId: string | null
}

/** Who calls, once the key was checked; null on a public route. */
export interface CallerIdentity {
  organisation: OrganisationName
  /** Goes before the route's priority; null where the organisation has none. */
  priority: number | null
  /** Whether no other organisation may share its cached prompts. */
  isIsolated: boolean
}
