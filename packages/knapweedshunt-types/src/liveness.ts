/** Liveness states of a VM or endpoint; `leaving` and `dead` are final for an incarnation. */
export const LIVENESS = ['live', 'suspect', 'leaving', 'dead'] as const

/** One of {@link LIVENESS}. */
export type Liveness = typeof LIVENESS[number]
