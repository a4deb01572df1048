/** Spec of a priority class, which orders requests in the queues and at the engines. */
export interface PriorityClassSpec {
  /** 0 is served first. */
  rank: number
  /** Time in queue after which a request counts one rank better, in milliseconds. */
  ageingMs: number
  /** Priority passed to engines; lower runs first. */
  enginePriority: number
}
