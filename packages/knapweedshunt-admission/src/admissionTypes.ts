import type { OrganisationName, PoolName, RequestId } from 'knapweedshunt-types'

/** A request that waits to be admitted. */
export interface AdmissionRequest {
  requestId: RequestId
  organisation: OrganisationName
  pool: PoolName
  priorityClass: string
  /** By the monotonic clock, milliseconds. */
  deadlineAtMs: number
}

/** Why a request was refused. */
export type RefusalCode = 'queue_full' | 'deadline_unreachable' | 'limit_exceeded'

/** What the admission must hear of. */
export type AdmissionEvent =
  | { type: 'offered', request: AdmissionRequest }
  /** An admitted request is over. */
  | { type: 'released', requestId: RequestId }
  /** A waiting request's caller is gone. */
  | { type: 'left', requestId: RequestId }
  | { type: 'capacity', pool: PoolName, concurrent: number }

/** What to do. */
export type AdmissionAction =
  | { type: 'admit', requestId: RequestId }
  | { type: 'refuse', requestId: RequestId, code: RefusalCode, retryAfterMs: number }
