import type { UsageRule } from './usageRule.ts'

const MS_PER_SECOND = 1_000

/** Part of the burst that can be used at once, so that large requests find room; the rest is issued over the window. */
const KEPT_BURST_SHARE = 0.5

/**
 * Converts a limit that holds for any window of a length, rate x window + burst, to a rate and a burst of which any such
 * window holds as many units. With the rate of the limit alone, an organisation that has used its burst once would be
 * refused what the next windows allow. `windowMs` is null if the limit names no window; it is kept as it is then.
 */
export function spreadBurst<Rule extends UsageRule> (rule: Rule, windowMs: number | null): Rule {
  if (windowMs === null) return rule
  const burst = rule.burst * KEPT_BURST_SHARE
  return { ...rule, ratePerS: rule.ratePerS + (rule.burst - burst) / windowMs * MS_PER_SECOND, burst }
}
