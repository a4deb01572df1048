/** A subset shrinks only if its demand would also fit the smaller one at this share of the maximum load. */
const SHRINK_LOAD_SHARE = 0.7

/** Computes the number of endpoints that share a key, from its demand. Grows at once and shrinks with hysteresis. */
export function computeSubsetSize (currentSize: number, tokensPerS: number, maxKeyTokensPerS: number): number {
  const grown = Math.max(1, Math.ceil(tokensPerS / maxKeyTokensPerS))
  if (grown >= currentSize) return grown
  const shrunk = Math.max(1, Math.ceil(tokensPerS / (maxKeyTokensPerS * SHRINK_LOAD_SHARE)))
  return Math.min(currentSize, shrunk)
}
