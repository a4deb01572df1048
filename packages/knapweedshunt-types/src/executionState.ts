/** What a caller is told about the execution of an order or request. `ran` and `not-run` never change afterwards. */
export const EXECUTION_STATES = ['ran', 'not-run', 'may-have-run', 'in-progress'] as const

/** One of {@link EXECUTION_STATES}. */
export type ExecutionState = typeof EXECUTION_STATES[number]
