import { ORDER_TRANSITION_TABLE } from 'knapweedshunt-orders'
import { FAULTS, STEPS } from './faults.ts'
import type { Fault, Step } from './faults.ts'
import { runSeed } from './runSeed.ts'
import type { Scenario } from './runSeed.ts'

const SCENARIOS: Scenario[] = ['own', 'durable', 'pinned']

/** Results of one fault at one step. */
export interface MatrixCell {
  fault: Fault
  step: Step
  runs: number
  /** Runs in which the step was reached, so that the fault was injected. */
  struck: number
  /** Last replies to the orders after all faults have ended, with their counts. */
  ends: Record<string, number>
  violations: string[]
}

/** Injects the fault when the step is first reached, for each kind of credential. */
export async function runCell (fault: Fault, step: Step, seeds: number): Promise<MatrixCell> {
  const cell: MatrixCell = { fault, step, runs: 0, struck: 0, ends: {}, violations: [] }
  for (const scenario of SCENARIOS) {
    for (let seed = 1; seed <= seeds; seed++) {
      const report = await runSeed(seed, [{ fault, step, nth: 1 }], ORDER_TRANSITION_TABLE, scenario)
      cell.runs++
      if (report.struck.length > 0) cell.struck++
      for (const end of report.ends) cell.ends[end] = (cell.ends[end] ?? 0) + 1
      cell.violations.push(...report.violations.map(violation => `${scenario} ${seed}: ${violation}`))
    }
  }
  return cell
}

/** Runs every fault at every step. */
export async function runMatrix (seeds: number): Promise<MatrixCell[]> {
  const cells: MatrixCell[] = []
  for (const fault of FAULTS) {
    for (const step of STEPS) cells.push(await runCell(fault, step, seeds))
  }
  return cells
}
