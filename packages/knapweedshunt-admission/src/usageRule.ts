const MS_PER_SECOND = 1_000

/** Time of the rate that the capacity is at least, in milliseconds. */
const MIN_CAPACITY_MS = 250

/** Time of the rate that all VMs together have after a start, in milliseconds; what they used before is not known. */
const START_MS = 400

/** Largest debt of an account: a time of the rate, in milliseconds, and a part of the burst. */
const DEBT = { rateMs: 400, burstRatio: 0.05 }

/** Limit of an organisation over all VMs together, in units; a request is one unit, or as many as it has tokens. */
export interface UsageRule {
  /** Units per second. */
  ratePerS: number
  /** Units that may be used at once. */
  burst: number
}

/** Computes how many units all VMs together may hold; one request at least. */
export function computeUsageCapacity ({ ratePerS, burst }: UsageRule): number {
  return Math.max(burst, ratePerS * MIN_CAPACITY_MS / MS_PER_SECOND, 1)
}

/** Computes how many units all VMs together hold after a start; no more than the capacity. */
export function computeStartUnits (rule: UsageRule): number {
  return Math.min(computeUsageCapacity(rule), rule.ratePerS * START_MS / MS_PER_SECOND)
}

/** Computes how far below zero one request may take an account, so that large requests are not admitted less often than small ones. */
export function computeMaxUsageDebt ({ ratePerS, burst }: UsageRule): number {
  return ratePerS * DEBT.rateMs / MS_PER_SECOND + burst * DEBT.burstRatio
}

/** Computes the units that accrue in a time at a part of the rate. */
export function computeAccrual ({ ratePerS }: UsageRule, part: number, elapsedMs: number): number {
  return ratePerS * part * Math.max(0, elapsedMs) / MS_PER_SECOND
}
