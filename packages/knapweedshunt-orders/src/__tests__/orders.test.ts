import test from 'ava'
import { ORDER_TRANSITION_TABLE } from 'knapweedshunt-orders'
import { createRng } from 'knapweedshunt-utils'
import { generatePlan, listCombinations } from '../../fuzz/generatePlan.ts'
import { FAULTS, STEPS } from '../../fuzz/faults.ts'
import { findMutation } from '../../fuzz/findMutation.ts'
import { MUTATIONS } from '../../fuzz/mutations.ts'
import { runCell } from '../../fuzz/runMatrix.ts'
import { runOutage } from '../../fuzz/runOutage.ts'
import { runSeed } from '../../fuzz/runSeed.ts'

const MUTATION_RUNS = 500

for (const fault of FAULTS) {
  test.serial(`orders run at most once with a fault at every step: ${fault}`, async t => {
    for (const step of STEPS) {
      const cell = await runCell(fault, step, 1)
      t.deepEqual(cell.violations, [], `${fault} at ${step}`)
      t.true(cell.struck > 0, `${fault} at ${step} was injected in no run`)
    }
  })
}

test.serial('orders run at most once under single faults and pairs of faults', async t => {
  const combinations = listCombinations()
  for (const [i, faults] of combinations.entries()) {
    for (const seed of [i, i + combinations.length]) {
      const plan = generatePlan(faults, createRng(seed))
      const { violations } = await runSeed(seed, plan, ORDER_TRANSITION_TABLE)
      t.deepEqual(violations, [], JSON.stringify({ seed, plan }))
    }
  }
})

for (const [name, table] of Object.entries(MUTATIONS)) {
  test.serial(`the fuzz test detects a missing safeguard: ${name}`, async t => {
    t.truthy(await findMutation(table, 1, MUTATION_RUNS))
  })
}

test.serial('tickets are served during a complete outage of the tables', async t => {
  const { orders, servedOwnKey, servedTicket, violations } = await runOutage(1, false)
  t.deepEqual({ servedOwnKey, servedTicket, violations }, { servedOwnKey: 0, servedTicket: orders, violations: [] })
})

test.serial('pinned tickets of a crashed minter are not run on other routers', async t => {
  const { orders, servedTicket, minterDied, violations } = await runOutage(1, true)
  t.true(minterDied > 0)
  t.deepEqual({ servedTicket, violations }, { servedTicket: orders - minterDied, violations: [] })
})
