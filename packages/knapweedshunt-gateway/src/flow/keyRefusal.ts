/** Why a request must not be sent on under its access key. */
export type KeyRefusal =
  /** The keys of this VM are too old to tell. */
  | { type: 'unconfirmed', ageMs: number }
  /** The key is no longer in the configuration. */
  | { type: 'removed' }
