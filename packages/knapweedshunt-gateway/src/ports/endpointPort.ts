import type http from 'node:http'
import type { EndpointName, OrganisationName } from 'knapweedshunt-types'
import type { CallerCall } from './callerCall.ts'

/** What the router adds to a caller's headers for one attempt; null leaves a field out. */
export interface AttemptFields {
  endpoint: EndpointName
  timeLeftMs: number
  organisation: OrganisationName | null
  cacheSalt: string | null
  /** Version of the weights that the salt names: an endpoint with another one must not run the request. */
  weightsVersion: number | null
  /** Address of an endpoint that may hold more of the prompt. */
  prefixSource: string | null
  /** Address of a store that keeps the prompt's parts once they are read. */
  prefixTarget: string | null
  /** 0 is served first. */
  priority: number | null
  lastEventId: string | null
}

/** Load that an endpoint tells in an answer. */
export interface ToldLoad {
  running: number
  waiting: number
  slots: number
}

/** Head of an endpoint's answer. */
export interface AnswerHead {
  /** Request that the answer belongs to, null when it does not say. */
  requestId: string | null
  /** The endpoint vouches for the answer. */
  isSigned: boolean
  /** The endpoint did not run the request and will not. */
  isNotRun: boolean
  load: ToldLoad | null
  /** Version of the weights that serve. */
  weightsVersion: number | null
}

/** Protocol of callers and endpoints: names of headers and what they say. */
export interface EndpointPort {
  /** Reads a request's head. Throws CallerError for one that cannot be read. */
  readCall (message: http.IncomingMessage): CallerCall
  /** Caller's end-to-end headers as an endpoint gets them, flat pairs. */
  buildAttemptHeaders (headers: string[], fields: AttemptFields): string[]
  readAnswer (headers: http.IncomingHttpHeaders): AnswerHead
  /** Headers of the router's own answer, flat pairs. */
  buildOwnHeaders (requestId: string | null, retryAfterMs: number | null): string[]
}
