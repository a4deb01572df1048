import { BASELINE_NAMES, POLICY_NAMES } from '../policies/policySet.ts'
import type { PolicyName } from '../policies/policySet.ts'
import type { Summary } from './summarizeSamples.ts'
import type { Case, CaseResult } from './runCase.ts'

/** Metrics for which ratios are printed; `true` if a higher value is better. */
const RATIOS: Array<[label: string, key: keyof Summary, isMoreBetter: boolean]> = [
  ['hit rate', 'hitRate', true],
  ['p50', 'p50Ms', false],
  ['p95', 'p95Ms', false],
  ['p99', 'p99Ms', false],
  ['wasted', 'wasted', false],
  ['worst org p99', 'worstP99Ms', false],
  ['worst org hit rate', 'worstHitRate', true]
]

/** Formats the name of a case, which is its key in the report file and the text that command-line arguments select by. */
export function formatCaseName ({ deployment, scenario, isNear, usesKvStore }: Case): string {
  return [deployment.name, scenario.name, isNear ? 'near' : 'local', ...(usesKvStore ? ['kept'] : [])].join(' ')
}

/** Prints the metrics of a case, and the ratios of the placement's to those of the best baseline and the oracle. */
export function printCase (one: Case, result: CaseResult): void {
  console.log(`\n${formatCaseName(one)} (${result.placement.whole.requests} requests)`)
  console.log('  policy         hit rate  imported  p50 ms   p95 ms   p99 ms  wasted  worst org p99, hit rate')
  for (const name of POLICY_NAMES) printRow(name, result[name].whole)
  const ratios = RATIOS.map(([label, key, isMoreBetter]) => {
    const own = result.placement.whole[key]
    const best = findBest(result, key, isMoreBetter)
    return `${label} ${(own / result[best].whole[key]).toFixed(2)} (${best}) ${(own / result['all-knowing'].whole[key]).toFixed(2)} (all-knowing)`
  })
  console.log(`  placement to the best baseline and to the all-knowing: ${ratios.join('; ')}`)
}

/** Finds the baseline with the best value of a metric. */
export function findBest (result: CaseResult, key: keyof Summary, isMoreBetter: boolean): PolicyName {
  const sorted = BASELINE_NAMES.toSorted((a, b) => result[a].whole[key] - result[b].whole[key])
  return isMoreBetter ? sorted[sorted.length - 1] : sorted[0]
}

function printRow (name: string, s: Summary): void {
  const cells = [
    name.padEnd(14),
    s.hitRate.toFixed(3).padStart(8),
    s.imported.toFixed(3).padStart(9),
    ...[s.p50Ms, s.p95Ms, s.p99Ms].map(ms => ms.toFixed(0).padStart(8)),
    s.wasted.toFixed(4).padStart(8),
    s.worstP99Ms.toFixed(0).padStart(8),
    s.worstHitRate.toFixed(3).padStart(8)
  ]
  console.log(`  ${cells.join(' ')}`)
}
