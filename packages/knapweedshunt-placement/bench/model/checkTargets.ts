import { findBest, nameCase } from './printCase.ts'
import type { Case, CaseResult } from './runCase.ts'

/** One target of one case. */
export interface TargetResult {
  name: string
  isMet: boolean
  seen: string
}

/** Bounds as stated for the placement. */
const LEAST_HIT_SHARE = 0.95
const MOST_WASTED_SHARE = 1.1
const MOST_WASTED_OF_BASELINE = 2 / 3
const HERD_SHARE = 0.02

/** Checks what is asked of one case. */
export function checkCase (one: Case, result: CaseResult): TargetResult[] {
  const { placement, 'all-knowing': bound } = result
  const hit = placement.whole.hitRate / bound.whole.hitRate
  const wasted = placement.whole.wasted / bound.whole.wasted
  const targets = [
    { name: 'hit rate at least 0.95 of the all-knowing', isMet: hit >= LEAST_HIT_SHARE, seen: hit.toFixed(3) },
    { name: 'wasted at most 1.1 of the all-knowing', isMet: wasted <= MOST_WASTED_SHARE, seen: wasted.toFixed(3) },
    ...(one.deployment.objective === 'tail' && one.scenario.name === 'lunch' ? [checkTail(result)] : []),
    ...(one.deployment.objective === 'reuse' ? [checkReuse(result)] : [])
  ]
  return targets.map(target => ({ ...target, name: `${nameCase(one)}: ${target.name}` }))
}

/** Compares the first minute after a herd restart with the same minute without one. */
export function checkHerd (one: Case, herd: CaseResult, steady: CaseResult): TargetResult[] {
  const before = steady.placement.minute
  const after = herd.placement.minute
  const hit = after.hitRate / before.hitRate
  const mean = after.meanMs / before.meanMs
  return [
    { name: `${nameCase(one)}: hit rate of the first minute within 2% of steady`, isMet: Math.abs(1 - hit) <= HERD_SHARE, seen: hit.toFixed(3) },
    { name: `${nameCase(one)}: mean time to first token of the first minute within 2% of steady, or better`, isMet: mean <= 1 + HERD_SHARE, seen: `${mean.toFixed(3)}; p99 ${(after.p99Ms / before.p99Ms).toFixed(3)}` }
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
    isMet: wasted <= MOST_WASTED_OF_BASELINE && tail <= 1,
    seen: `wasted ${wasted.toFixed(3)}, p99 ${tail.toFixed(3)}; the all-knowing has ${bound.toFixed(3)}`
  }
}
