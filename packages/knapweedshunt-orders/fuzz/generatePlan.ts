import type { Rng } from 'knapweedshunt-utils'
import { FAULTS, STEPS } from './faults.ts'
import type { Fault, PlannedFault } from './faults.ts'

const MAX_NTH = 3

/** Lists every single fault and every pair, including a fault paired with itself. */
export function listCombinations (): Fault[][] {
  const pairs = FAULTS.flatMap((first, i) => FAULTS.slice(i).map(second => [first, second]))
  return [...FAULTS.map(fault => [fault]), ...pairs]
}

/** Chooses a random step and count for each fault. */
export function generatePlan (faults: Fault[], rng: Rng): PlannedFault[] {
  return faults.map(fault => ({ fault, step: STEPS[rng.drawInt(STEPS.length)], nth: 1 + rng.drawInt(MAX_NTH) }))
}
