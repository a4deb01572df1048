import type { LevelSalt } from 'knapweedshunt-placement'
import type { OrganisationName, PoolName, PrefixLevel, RequestId } from 'knapweedshunt-types'

/** Work that the endpoint performs: a completion of an engine, or a call of a plain service. */
export type CallerWork =
  | { type: 'completion', path: '/v1/completions' | '/v1/chat/completions', body: Record<string, unknown>, stream: boolean, salt: LevelSalt, seed: number }
  | { type: 'service', method: string, path: string, contentType: string, body: string }

/** A request of a caller after authentication, routing and validation. */
export interface CallerRequest {
  requestId: RequestId
  organisation: OrganisationName
  pool: PoolName
  route: string
  priorityClass: string
  enginePriority: number
  job: 'short' | 'long'
  /** Whether the request may run more than once, so that attempts can be retried and hedged. */
  repeatable: boolean
  /** Monotonic clock, in milliseconds. */
  receivedAtMs: number
  /** Monotonic clock, in milliseconds. */
  deadlineAtMs: number
  /** Prefix levels of the prompt; empty for services. */
  levels: PrefixLevel[]
  /** Hashes of the texts of all levels but the last, each of its text alone; other prompts may hold them at another level. */
  sharedParts: string[]
  idempotencyKey: string | null
  /** Ticket from `POST /v1/tickets`, used in place of an idempotency key. */
  orderTicket: string | null
  /** Number of the first token to deliver; greater than 0 after a reconnect. */
  resumeFrom: number
  /** Token from the response that began the stream, as the caller sent it. */
  streamToken: string | null
  /** Digest of the request's content; equal for a repeated request. */
  digest: string
  /** Headers of the caller that another router needs to serve the request; null if it must not be relayed. */
  relayHeaders: Record<string, string> | null
  work: CallerWork
}
