import type { KeyTable } from './keyTable.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { KeyDemand } from './placementTypes.ts'

/** Maximum number of keys that a router reports to its peers. */
const MAX_HOT_KEYS = 64

/** Minimum demand of a reported key, as a share of the prefill rate of one endpoint. Low, because small demands on many routers add up. */
const MIN_HOT_SHARE = 0.005

/** Lists the keys with the highest demand, in descending order. */
export function listHotKeys (table: KeyTable, options: PlacementOptions, nowMs: number): KeyDemand[] {
  const minTokensPerS = options.prefillTokensPerS * MIN_HOT_SHARE
  const demands: KeyDemand[] = []
  for (const key of table.list()) {
    const tokensPerS = Math.round(key.demand.countTokensPerS(nowMs))
    if (tokensPerS >= minTokensPerS) demands.push({ key: key.shortKey, tokensPerS })
  }
  return demands.sort((a, b) => b.tokensPerS - a.tokensPerS).slice(0, MAX_HOT_KEYS)
}
