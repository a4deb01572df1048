import type { AttemptId, EndpointName, OrganisationName, PoolName, RequestId, VmId } from 'knapweedshunt-types'

/** A request that waits to be admitted. */
export interface AdmissionRequest {
  requestId: RequestId
  organisation: OrganisationName
  pool: PoolName
  priorityClass: string
  /** By the monotonic clock, milliseconds. */
  deadlineAtMs: number
  /** Work expected of an endpoint, in prompt tokens; 0 counts as 1. */
  tokens: number
}

/** A priority class as the queues use it. */
export interface ClassWeight {
  name: string
  /** 0 is served first. */
  rank: number
  /** Time in queue after which a request counts one rank better, in milliseconds. */
  ageingMs: number
}

/** An organisation's limits over all VMs together; null where there is none. */
export interface OrganisationRule {
  organisation: OrganisationName
  /** Share of a contended queue, > 0. */
  weight: number
  requestsPerSecond: number | null
  concurrent: number | null
}

/** What one VM was asked for by one limited organisation. */
export interface Demand {
  organisation: OrganisationName
  /** Requests offered per second. */
  requestsPerSecond: number
  /** Requests running or refused for want of a place. */
  concurrent: number
}

/** An endpoint that a pool may use. */
export interface WindowEndpoint {
  endpoint: EndpointName
  /** A change of it starts the window anew. */
  incarnation: string
}

/** Why a request was refused. */
export type RefusalCode = 'no_capacity' | 'queue_full' | 'deadline_unreachable' | 'limit_exceeded'

/** What the admission must hear of. */
export type AdmissionEvent =
  | { type: 'offered', request: AdmissionRequest }
  /** An admitted request is over. */
  | { type: 'released', requestId: RequestId }
  /** A waiting request's caller is gone. */
  | { type: 'left', requestId: RequestId }
  /** Endpoints of a pool that may get new work; none closes the pool. */
  | { type: 'endpoints', pool: PoolName, endpoints: WindowEndpoint[] }
  | { type: 'classes', classes: ClassWeight[] }
  | { type: 'rules', rules: OrganisationRule[] }
  /** VMs that may admit requests, with this one, and the time after which an unheard one counts as silent. */
  | { type: 'vms', count: number, silentMs: number }
  /** A peer's demand; replaces what it said before. */
  | { type: 'demand', vm: VmId, demands: Demand[] }
  /** An attempt went to an endpoint, or is over there. */
  | { type: 'attemptStarted', attempt: AttemptId, endpoint: EndpointName }
  | { type: 'attemptFinished', attempt: AttemptId }
  /** First token of an attempt, or the failure to give one. */
  | { type: 'delay', endpoint: EndpointName, firstTokenMs: number, tokens: number }
  | { type: 'overloaded', endpoint: EndpointName }
  /** The clock went on. */
  | { type: 'tick' }

/** What to do. */
export type AdmissionAction =
  | { type: 'admit', requestId: RequestId }
  /** The request was not started and will not be. */
  | { type: 'refuse', requestId: RequestId, code: RefusalCode, retryAfterMs: number }
