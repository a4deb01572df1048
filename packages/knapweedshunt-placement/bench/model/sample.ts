/** Measurements of one request. */
export interface Sample {
  organisation: number
  job: 'short' | 'long'
  atMs: number
  firstTokenMs: number
  promptTokens: number
  cachedTokens: number
  importedTokens: number
  /** Tokens computed although an earlier request contained them, on any engine. */
  wastedTokens: number
}
