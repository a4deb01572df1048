import { findBest, formatCaseName } from './printCase.ts'
import type { Case, CaseResult } from './runCase.ts'

/** Result of one target in one case; written to the report file. */
export interface TargetResult {
  name: string
  isMet: boolean
  seen: string
}

/** Target bounds for the placement, as ratios to the oracle (`all-knowing`), the best baseline or the run without a restart. */
const MIN_HIT_RATE_RATIO = 0.95
const MAX_WASTED_RATIO = 1.1
const MAX_WASTED_BASELINE_RATIO = 2 / 3
const RESTART_TOLERANCE = 0.02

/** Checks the targets of one case. */
export function checkCase (one: Case, result: CaseResult): TargetResult[] {
  const { placement, 'all-knowing': bound } = result
  const hit = placement.whole.hitRate / bound.whole.hitRate
  const wasted = placement.whole.wasted / bound.whole.wasted
  const targets = [
    { name: 'hit rate at least 0.95 of the all-knowing', isMet: hit >= MIN_HIT_RATE_RATIO, seen: hit.toFixed(3) },
    { name: 'wasted at most 1.1 of the all-knowing', isMet: wasted <= MAX_WASTED_RATIO, seen: wasted.toFixed(3) },
    ...(one.deployment.objective === 'tail' && one.scenario.name === 'lunch' ? [checkTail(result)] : []),
    ...(one.deployment.objective === 'reuse' ? [checkReuse(result)] : [])
  ]
  return targets.map(target => ({ ...target, name: `${formatCaseName(one)}: ${target.name}` }))
}

/** Compares the first minute after a simultaneous restart of all routers with the same minute without a restart. */
export function checkRouterRestart (one: Case, restarted: CaseResult, steady: CaseResult): TargetResult[] {
  const before = steady.placement.minute
  const after = restarted.placement.minute
  const hit = after.hitRate / before.hitRate
  const mean = after.meanMs / before.meanMs
  return [
    { name: `${formatCaseName(one)}: hit rate of the first minute within 2% of steady`, isMet: Math.abs(1 - hit) <= RESTART_TOLERANCE, seen: hit.toFixed(3) },
    { name: `${formatCaseName(one)}: mean time to first token of the first minute within 2% of steady, or better`, isMet: mean <= 1 + RESTART_TOLERANCE, seen: `${mean.toFixed(3)}; p99 ${(after.p99Ms / before.p99Ms).toFixed(3)}` }
  ]
}

function checkTail ({ placement, 'least-loaded': other }: CaseResult): TargetResult {
  const ratio = placement.whole.p99Ms / other.whole.p99Ms
  return { name: "99th percentile no worse than least-loaded's", isMet: ratio <= 1, seen: ratio.toFixed(3) }
}

function checkReuse (result: CaseResult): TargetResult {
  const best = findBest(result, 'wasted', false)
  const wasted = result.placement.whole.wasted / result[best].whole.wasted
  const tail = result.placement.whole.p99Ms / result[best].whole.p99Ms
  const bound = result['all-knowing'].whole.wasted / result[best].whole.wasted
  return {
    name: `wasted at most 2/3 of the best baseline's (${best}) at no worse a tail`,
    isMet: wasted <= MAX_WASTED_BASELINE_RATIO && tail <= 1,
    seen: `wasted ${wasted.toFixed(3)}, p99 ${tail.toFixed(3)}; the all-knowing has ${bound.toFixed(3)}`
  }
}
