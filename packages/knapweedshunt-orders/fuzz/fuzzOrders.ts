/** Extended fuzz: `npm run fuzz:orders -- [runs] [first seed]`. A full run also writes docs/figures/ordersFuzz.json and ordersMatrix.json. */
import fs from 'node:fs'
import { ORDER_TRANSITION_TABLE } from 'knapweedshunt-orders'
import type { OrderTransitionTable } from 'knapweedshunt-orders'
import { createRng } from 'knapweedshunt-utils'
import { generatePlan, listCombinations } from './generatePlan.ts'
import { findMutation } from './findMutation.ts'
import type { Finding } from './findMutation.ts'
import { MUTATIONS } from './mutations.ts'
import { runMatrix } from './runMatrix.ts'
import { runOutage } from './runOutage.ts'
import { runSeed } from './runSeed.ts'

const FULL_RUNS = 20_000
const MATRIX_SEEDS = 5
const MUTATION_STARTS = [1, 10_001, 20_001, 30_001, 40_001]
const MUTATION_RUNS = 2_000
const FIGURES_DIR = 'docs/figures'

interface FuzzReport {
  runs: number
  firstSeed: number
  failed: number
  /** Runs in which every planned fault was injected. */
  allStruck: number
  orders: number
  ran: number
}

async function runFuzz (runs: number, firstSeed: number): Promise<FuzzReport> {
  const report: FuzzReport = { runs, firstSeed, failed: 0, allStruck: 0, orders: 0, ran: 0 }
  const combinations = listCombinations()
  for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
    const plan = generatePlan(combinations[seed % combinations.length], createRng(seed))
    const { violations, struck, placed, ran } = await runSeed(seed, plan, ORDER_TRANSITION_TABLE)
    report.orders += placed
    report.ran += ran
    if (struck.length === plan.length) report.allStruck++
    if (violations.length === 0) continue
    report.failed++
    console.log(JSON.stringify({ seed, plan, violations }))
  }
  return report
}

async function runMutations (): Promise<Record<string, Array<Finding | null>>> {
  const found: Record<string, Array<Finding | null>> = {}
  for (const [name, table] of Object.entries(MUTATIONS) as Array<[string, OrderTransitionTable]>) {
    found[name] = []
    for (const first of MUTATION_STARTS) found[name].push(await findMutation(table, first, MUTATION_RUNS))
  }
  return found
}

const runs = Number(process.argv[2] ?? FULL_RUNS)
const fuzz = await runFuzz(runs, Number(process.argv[3] ?? 1))
console.log(JSON.stringify(fuzz))
let hasPassed = fuzz.failed === 0
if (runs >= FULL_RUNS) {
  const mutations = await runMutations()
  const outage = { allVmsLive: await runOutage(1, false), oneVmDies: await runOutage(1, true) }
  const matrix = await runMatrix(MATRIX_SEEDS)
  console.log(JSON.stringify({ mutations, outage }))
  const failedCells = matrix.filter(cell => cell.violations.length > 0 || cell.struck === 0)
  for (const cell of failedCells) console.log(JSON.stringify(cell))
  fs.mkdirSync(FIGURES_DIR, { recursive: true })
  fs.writeFileSync(`${FIGURES_DIR}/ordersFuzz.json`, JSON.stringify({ fuzz, mutations, outage }, null, 2) + '\n')
  fs.writeFileSync(`${FIGURES_DIR}/ordersMatrix.json`, `[\n${matrix.map(cell => JSON.stringify(cell)).join(',\n')}\n]\n`)
  const areMutationsFound = Object.values(mutations).flat().every(finding => finding !== null)
  hasPassed &&= failedCells.length === 0 && areMutationsFound
}
process.exitCode = hasPassed ? 0 : 1
