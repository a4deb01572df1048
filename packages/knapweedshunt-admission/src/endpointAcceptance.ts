/** What an endpoint accepts from this VM now. */
export type EndpointAcceptance =
  | { type: 'open' }
  /** Nothing for this time, in milliseconds. */
  | { type: 'waiting', waitMs: number }
  /** Nothing any more. */
  | { type: 'leaving' }
