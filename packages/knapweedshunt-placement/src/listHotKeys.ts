import type { KeyTable } from './keyTable.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { KeyDemand } from './placementTypes.ts'

/** Most keys that a router tells its peers of. */
const MAX_HOT_KEYS = 64

/** Share of what one endpoint computes from which on a key's own demand is told; what many routers see a little of adds up. */
const HOT_SHARE = 0.005

/** Lists the keys with the most demand, hottest first. */
export function listHotKeys (table: KeyTable, options: PlacementOptions, nowMs: number): KeyDemand[] {
  const least = options.prefillTokensPerS * HOT_SHARE
  const demands: KeyDemand[] = []
  for (const key of table.list()) {
    const tokensPerS = Math.round(key.demand.countTokensPerS(nowMs))
    if (tokensPerS >= least) demands.push({ key: key.shortKey, tokensPerS })
  }
  return demands.sort((a, b) => b.tokensPerS - a.tokensPerS).slice(0, MAX_HOT_KEYS)
}
