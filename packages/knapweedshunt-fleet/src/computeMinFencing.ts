import type { FencingToken } from 'knapweedshunt-types'

/** Fencing tokens of one era of the store; far more than are taken in it. */
const TOKENS_PER_ERA = 2 ** 24

/** Highest era that is told apart; its tokens can be incremented exactly. */
const MAX_ERA = 2 ** 23

/**
 * Computes the lowest fencing token of an era. A store that returned to an older copy has lost tokens that endpoints have
 * seen, and no VM may remember them; those of the next era are greater than all of them. 0 if the store states no era.
 */
export function computeMinFencing (era: number | null): FencingToken {
  return Math.min(era ?? 0, MAX_ERA) * TOKENS_PER_ERA
}
