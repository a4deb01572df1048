import type { OrderTable } from 'knapweedshunt-orders'
import { createRng } from 'knapweedshunt-utils'
import { drawPlan, listCombinations } from './drawPlan.ts'
import { runSeed } from './runSeed.ts'

/** First run that showed a fault. */
export interface Finding {
  runs: number
  violation: string
}

/** Runs seeds from `first` on until one fails; null when none of `maxRuns` does. */
export async function findMutation (table: OrderTable, first: number, maxRuns: number): Promise<Finding | null> {
  const combinations = listCombinations()
  for (let runs = 1; runs <= maxRuns; runs++) {
    const seed = first + runs - 1
    const plan = drawPlan(combinations[seed % combinations.length], createRng(seed))
    const { violations } = await runSeed(seed, plan, table)
    if (violations.length > 0) return { runs, violation: violations[0] }
  }
  return null
}
