import type { OrganisationName } from 'knapweedshunt-types'

/** One part of a prompt, which other requests may share. */
export interface PromptPart {
  id: string
  tokens: number
}

/** Description of a request's prompt, as the caller sent it. */
export interface Prompt {
  model: string
  /** Outermost part first; the last one belongs to the request or its session. */
  parts: PromptPart[]
  /** Total number of tokens of the prompt. */
  tokens: number
}

/** Tokens that a request states for itself. */
export interface TokenUsage {
  promptTokens: number
  /** Maximum number of tokens that are generated. */
  maxOutputTokens: number
}

/** Head of a caller's request, decoded by the deployment's protocol. */
export interface CallerCall {
  /** Id that the caller gave the request; a new one for each of its retries. */
  requestId: string
  /** Lower case, without a port. */
  host: string
  method: string
  /** Path and query as received. */
  target: string
  /** Path without the query. */
  path: string
  /** Access key; null when none was sent. */
  key: string | null
  /** How long the caller waits from the arrival of the request, in milliseconds; null when not stated. */
  timeLeftMs: number | null
  prompt: Prompt | null
  /** Null when not stated. */
  tokenUsage: TokenUsage | null
  /** Id of the last stream event that the caller received; null for a stream from the start. */
  lastEventId: string | null
  /** Id of the caller's request that brought the first event of the stream which this one resumes; null when not stated. */
  firstRequestId: string | null
}

/** Identity of a caller whose access key was checked; public routes have none. */
export interface CallerIdentity {
  organisation: OrganisationName
  /** Overrides the route's priority; null when the organisation has none. */
  priority: number | null
  /** Whether no other organisation may share the organisation's cached prompts. */
  isIsolated: boolean
}
