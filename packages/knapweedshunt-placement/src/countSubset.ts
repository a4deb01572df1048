/** Share of the carried demand below which a subset shrinks. */
const SHRINK_SHARE = 0.7

/** Size of a key's subset for its demand; grows at once and shrinks only when clearly too large. */
export function countSubset (present: number, tokensPerS: number, carriedTokensPerS: number): number {
  const grown = Math.max(1, Math.ceil(tokensPerS / carriedTokensPerS))
  if (grown >= present) return grown
  const shrunk = Math.max(1, Math.ceil(tokensPerS / (carriedTokensPerS * SHRINK_SHARE)))
  return Math.min(present, shrunk)
}
