import type http from 'node:http'
import type { EndpointName, OrganisationName } from 'knapweedshunt-types'
import type { CallerCall } from './callerCall.ts'

/** Header fields that the router adds to a caller's headers for one attempt; null omits a field. */
export interface AttemptFields {
  endpoint: EndpointName
  timeLeftMs: number
  organisation: OrganisationName | null
  cacheSalt: string | null
  /** Weights version that is part of the salt: an endpoint with another version must not run the request. */
  weightsVersion: number | null
  /** Address of an endpoint that may have a longer prefix of the prompt in its KV cache. */
  prefixSource: string | null
  /** Address of the KV store that saves the prompt's parts once they are computed. */
  prefixTarget: string | null
  /** 0 is served first. */
  priority: number | null
  lastEventId: string | null
}

/** Load that an endpoint reports in a response. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
  /** Time that work takes at this moment, relative to the usual time: 1.7 on a machine that others keep busy; null when not stated. */
  slowdown: number | null
}

/** What a response says about the rate limit of its endpoint. */
export type StatedLimit =
  | { type: 'none' }
  /** Requests per second that the endpoint accepts from all VMs together, for as long as its responses say so. */
  | { type: 'limited', requestsPerS: number }
  /** The value is not a rate. */
  | { type: 'unreadable', text: string }

/** What a response says about the time for which this VM must send its endpoint nothing. */
export type StatedBackoff =
  | { type: 'none' }
  /** The endpoint wants nothing for this time, in milliseconds. */
  | { type: 'backoff', forMs: number }
  /** The value is neither a number of seconds nor a date. */
  | { type: 'unreadable', text: string }

/** What a response says about how its endpoint bears overload. */
export type StatedBrittleness =
  | { type: 'none' }
  /** The endpoint ends if it has to reject more than this many requests in a second for want of room. */
  | { type: 'brittle', maxRejectionsPerS: number }
  /** The value is not a number. */
  | { type: 'unreadable', text: string }

/** Head of an endpoint's response. */
export interface ResponseHead {
  /** Id of the request that the response belongs to; null when not stated. */
  requestId: string | null
  /** Whether the endpoint signed the response. */
  isSigned: boolean
  /** Whether the endpoint states that it did not run the request and will not. */
  isNotRun: boolean
  load: ReportedLoad | null
  limit: StatedLimit
  /** Counts only with a rejection. */
  backoff: StatedBackoff
  brittleness: StatedBrittleness
  /** Whether the endpoint is about to stop and wants no more requests. */
  isLeaving: boolean
  /** Version of the weights that served the request; null when not stated. */
  weightsVersion: number | null
}

/** Protocol between callers, router and endpoints: names and meaning of the headers. */
export interface EndpointPort {
  /** Decodes the head of a caller's request. Throws CallerError when it is malformed. */
  decodeCall (request: http.IncomingMessage): CallerCall
  /** Builds the headers of an attempt from the caller's end-to-end headers; flat name-value pairs. */
  buildAttemptHeaders (headers: string[], fields: AttemptFields): string[]
  /** Builds the headers by which another VM serves the request as its caller sent it, in the time left and from the event after `lastEventId`; flat name-value pairs. */
  buildRelayHeaders (headers: string[], fields: Pick<AttemptFields, 'timeLeftMs' | 'lastEventId'>): string[]
  decodeResponseHead (headers: http.IncomingHttpHeaders): ResponseHead
  /** Builds the headers of a response by the router itself; flat name-value pairs. */
  buildRouterHeaders (requestId: string | null, retryAfterMs: number | null): string[]
}
