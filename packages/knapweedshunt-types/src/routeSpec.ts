import type { PoolName } from './ids.ts'

/** Match rule of a route: a model name, or a path prefix under `/v1/services/`. */
export type RouteMatch =
  | { type: 'model', model: string }
  | { type: 'path', prefix: string }

/** Spec of a route: the pool for matching requests, and how they may be retried, hedged and queued. */
export interface RouteSpec {
  match: RouteMatch
  pool: PoolName
  /** Whether a request may run more than once; only then is it retried, hedged or resumed on another endpoint. */
  repeatable: boolean
  /** Expected length of the requests; only short ones may be hedged. */
  job: 'short' | 'long'
  /** Default priority class for requests that name none. */
  priorityClass: string
  /** Default deadline for requests that give none, in milliseconds after arrival. */
  timeoutMs: number
}
