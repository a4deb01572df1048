/** One finished call. */
export interface LoadRecord {
  organisation: string
  job: string
  outcome: LoadOutcome
}

/** How a call ended. */
export type LoadOutcome =
  | { type: 'answered', firstTokenMs: number, totalMs: number, promptTokens: number, cachedTokens: number, reusableTokens: number }
  | { type: 'ordered', totalMs: number }
  | { type: 'refused', code: string }
  /** The stream ended without its end mark. */
  | { type: 'cut' }
  /** The router was not reached. */
  | { type: 'unreached' }
