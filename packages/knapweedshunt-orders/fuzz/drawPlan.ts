import type { Rng } from 'knapweedshunt-utils'
import { FAULTS, STEPS } from './faults.ts'
import type { Fault, PlannedFault } from './faults.ts'

const MAX_NTH = 3

/** Every fault alone and every pair, a fault with itself included. */
export function listCombinations (): Fault[][] {
  const pairs = FAULTS.flatMap((first, i) => FAULTS.slice(i).map(second => [first, second]))
  return [...FAULTS.map(fault => [fault]), ...pairs]
}

/** Draws a step for each fault. */
export function drawPlan (faults: Fault[], rng: Rng): PlannedFault[] {
  return faults.map(fault => ({ fault, step: STEPS[rng.int(STEPS.length)], nth: 1 + rng.int(MAX_NTH) }))
}
