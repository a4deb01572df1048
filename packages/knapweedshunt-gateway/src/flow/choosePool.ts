import { hashText } from 'knapweedshunt-utils'
import type { PoolShare } from '../ports/gatewayConfig.ts'

const HASH_DIGITS = 8
const HASH_RANGE = 16 ** HASH_DIGITS

/** Chooses a pool at random in proportion to the weights. The same seed always gives the same pool; undefined without shares. */
export function choosePool (shares: PoolShare[], seed: string): string | undefined {
  if (shares.length <= 1) return shares[0]?.pool
  const totalWeight = shares.reduce((sum, share) => sum + share.weight, 0)
  let remaining = parseInt(hashText(seed).slice(0, HASH_DIGITS), 16) / HASH_RANGE * totalWeight
  for (const share of shares) {
    remaining -= share.weight
    if (remaining < 0) return share.pool
  }
  return shares.at(-1)?.pool
}
