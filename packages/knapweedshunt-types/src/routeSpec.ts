import type { PoolName } from './ids.ts'

/** What a route matches: a model name, or a path prefix under `/v1/services/`. */
export type RouteMatch =
  | { type: 'model', model: string }
  | { type: 'path', prefix: string }

/** Where matching requests go and how they may be treated. */
export interface RouteSpec {
  match: RouteMatch
  pool: PoolName
  /** Whether a request may run more than once; only then is it retried, hedged or resumed elsewhere. */
  repeatable: boolean
  /** Short jobs may be hedged. */
  job: 'short' | 'long'
  /** Priority class used when the caller names none. */
  priorityClass: string
  /** Deadline when the caller names none, in milliseconds. */
  timeoutMs: number
}
