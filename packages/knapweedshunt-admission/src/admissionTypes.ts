import type { AttemptId, EndpointName, OrganisationName, PoolName, RequestId, VmId } from 'knapweedshunt-types'

/** A request offered for admission. */
export interface AdmissionRequest {
  requestId: RequestId
  organisation: OrganisationName
  pool: PoolName
  priorityClass: string
  /** Monotonic clock, in milliseconds. */
  deadlineAtMs: number
  /** Expected cost at the endpoint, in prompt tokens; 0 counts as 1. */
  tokens: number
}

/** Rank and ageing of one priority class. */
export interface PriorityClassRule {
  name: string
  /** The class with the lowest rank is served first. */
  rank: number
  /** Queueing time that raises a request by one rank, in milliseconds. */
  ageingMs: number
}

/** Weight and limits of an organisation. Limits apply to all VMs together; null means unlimited. */
export interface OrganisationRule {
  organisation: OrganisationName
  /** Relative share of service while requests of several organisations wait; greater than 0. */
  weight: number
  requestsPerSecond: number | null
  concurrent: number | null
}

/** Load that one limited organisation puts on one VM. Exchanged between VMs. */
export interface Demand {
  organisation: OrganisationName
  /** Requests offered per second. */
  requestsPerSecond: number
  /** Requests that hold a concurrency slot, plus requests refused per second because no slot was free. */
  concurrent: number
}

/** An endpoint that may receive new requests of a pool. */
export interface PoolEndpoint {
  endpoint: EndpointName
  /** Empty while unknown. A new incarnation gets a new concurrency window. */
  incarnation: string
}

/** Reason for a refusal, returned to the caller. */
export type RefusalCode = 'no_capacity' | 'queue_full' | 'deadline_unreachable' | 'limit_exceeded'

/** Input of `Admission`. */
export type AdmissionEvent =
  | { type: 'offered', request: AdmissionRequest }
  /** An admitted request ended. */
  | { type: 'released', requestId: RequestId }
  /** The caller of a waiting request disconnected. */
  | { type: 'left', requestId: RequestId }
  /** Endpoints of a pool that may receive new requests. With an empty list all requests of the pool are refused. */
  | { type: 'endpoints', pool: PoolName, endpoints: PoolEndpoint[] }
  | { type: 'classes', classes: PriorityClassRule[] }
  | { type: 'rules', rules: OrganisationRule[] }
  /** Number of VMs that may admit requests, including this one, and the time after which the last demand of a VM expires. */
  | { type: 'vms', count: number, peerTimeoutMs: number }
  /** Demands of a peer; they replace its previous ones. */
  | { type: 'demand', vm: VmId, demands: Demand[] }
  /** An attempt was sent to an endpoint, or ended there. */
  | { type: 'attemptStarted', attempt: AttemptId, endpoint: EndpointName }
  | { type: 'attemptFinished', attempt: AttemptId }
  /** Time to the first token of an attempt, or the time waited in vain for it. */
  | { type: 'delay', endpoint: EndpointName, firstTokenMs: number, tokens: number }
  | { type: 'overloaded', endpoint: EndpointName }
  /** Refuses waiting requests whose deadline has passed. */
  | { type: 'tick' }

/** Output of `Admission`, to be carried out by its caller. */
export type AdmissionAction =
  | { type: 'admit', requestId: RequestId }
  /** The request was not started and will not be. */
  | { type: 'refuse', requestId: RequestId, code: RefusalCode, retryAfterMs: number }
