import { hashText } from 'knapweedshunt-utils'
import type { PoolShare } from '../ports/gatewayConfig.ts'

const HASH_DIGITS = 8
const HASH_SPAN = 16 ** HASH_DIGITS

/** Chooses a pool by the shares' weights; a seed always gives the same one. */
export function choosePool (shares: PoolShare[], seed: string): string | undefined {
  if (shares.length <= 1) return shares[0]?.pool
  const total = shares.reduce((sum, share) => sum + share.weight, 0)
  let left = parseInt(hashText(seed).slice(0, HASH_DIGITS), 16) / HASH_SPAN * total
  for (const share of shares) {
    left -= share.weight
    if (left < 0) return share.pool
  }
  return shares.at(-1)?.pool
}
