/** Liveness states of a VM or endpoint; `leaving` and `dead` are final for an incarnation. */
export const LIVENESS_STATES = ['live', 'suspect', 'leaving', 'dead'] as const

/** One of {@link LIVENESS_STATES}. */
export type Liveness = typeof LIVENESS_STATES[number]
