/** One finished call and the group it is reported in. */
export interface LoadRecord {
  organisation: string
  job: string
  outcome: LoadOutcome
}

/** How a call ended. `ordered` is an order that ran; `reusableTokens` are the leading prompt tokens that were sent before. */
export type LoadOutcome =
  | { type: 'answered', firstTokenMs: number, totalMs: number, promptTokens: number, cachedTokens: number, reusableTokens: number }
  | { type: 'ordered', totalMs: number }
  | { type: 'refused', code: string }
  /** The stream ended or failed before `[DONE]`. */
  | { type: 'cut' }
  /** The call failed without a usable response, for example because the router could not be reached. */
  | { type: 'unreached' }
