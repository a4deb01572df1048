import type { OrderTransitionTable } from 'knapweedshunt-orders'
import { createRng } from 'knapweedshunt-utils'
import { generatePlan, listCombinations } from './generatePlan.ts'
import { runSeed } from './runSeed.ts'

/** First run that found a violation. */
export interface Finding {
  runs: number
  violation: string
}

/** Runs seeds from `first` on until one reports a violation; null when none of `maxRuns` runs does. */
export async function findMutation (table: OrderTransitionTable, first: number, maxRuns: number): Promise<Finding | null> {
  const combinations = listCombinations()
  for (let runs = 1; runs <= maxRuns; runs++) {
    const seed = first + runs - 1
    const plan = generatePlan(combinations[seed % combinations.length], createRng(seed))
    const { violations } = await runSeed(seed, plan, table)
    if (violations.length > 0) return { runs, violation: violations[0] }
  }
  return null
}
