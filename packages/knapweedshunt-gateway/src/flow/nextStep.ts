/** What follows after an attempt: the request has its final response, or another attempt starts. */
export type NextStep = { type: 'done' } | { type: 'retry' }

/** The request has its final response. */
export const DONE: NextStep = { type: 'done' }

/** Another attempt starts. */
export const RETRY: NextStep = { type: 'retry' }
