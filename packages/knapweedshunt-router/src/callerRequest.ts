import type { LevelSalt } from 'knapweedshunt-placement'
import type { OrganisationName, PoolName, PrefixLevel, RequestId } from 'knapweedshunt-types'

/** What the endpoint is to do. */
export type CallerWork =
  | { type: 'completion', path: '/v1/completions' | '/v1/chat/completions', body: Record<string, unknown>, stream: boolean, salt: LevelSalt, seed: number }
  | { type: 'service', method: string, path: string, contentType: string, body: string }

/** A checked request of a caller. */
export interface CallerRequest {
  requestId: RequestId
  organisation: OrganisationName
  pool: PoolName
  route: string
  priorityClass: string
  enginePriority: number
  job: 'short' | 'long'
  /** May run more than once. */
  repeatable: boolean
  /** By the monotonic clock, milliseconds. */
  receivedAtMs: number
  /** By the monotonic clock, milliseconds. */
  deadlineAtMs: number
  /** Empty for services. */
  levels: PrefixLevel[]
  idempotencyKey: string | null
  /** Ticket of `POST /v1/tickets`, in place of a key. */
  orderTicket: string | null
  /** First token wanted; greater than 0 after a reconnect. */
  resumeFrom: number
  /** Digest of what was asked; equal for a repeated request. */
  digest: string
  work: CallerWork
}
