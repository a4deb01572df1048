import type { Incarnation } from 'knapweedshunt-types'

/** Whether an endpoint is the incarnation of its row, by its own report. */
export type IncarnationCheck =
  | { type: 'same' }
  /** The report states no start, so it cannot tell. */
  | { type: 'unstated' }
  /** The endpoint has started again since its row was read. */
  | { type: 'other', reported: Incarnation }
  /** No report arrived, or none may be asked for now. */
  | { type: 'unread' }
