/** What one request met. */
export interface Sample {
  organisation: number
  job: 'short' | 'long'
  atMs: number
  firstTokenMs: number
  promptTokens: number
  cachedTokens: number
  importedTokens: number
  /** Tokens computed although an earlier request had computed them somewhere. */
  wastedTokens: number
}
