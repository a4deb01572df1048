/** What can be said for ever of whether an order or request ran. */
export const RAN = ['ran', 'not-run', 'may-have-run', 'in-progress'] as const

/** One of {@link RAN}. */
export type Ran = typeof RAN[number]
