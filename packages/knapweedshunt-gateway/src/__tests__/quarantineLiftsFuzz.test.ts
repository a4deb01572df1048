import test from 'ava'
import fc from 'fast-check'
import { liftedPartHistories, liftedRequestHistories, runHistory } from './fleetSteps.ts'

const SEED = Number(process.env.FUZZ_SEED ?? 20_261_204)
const RUNS = Number(process.env.FUZZ_RUNS ?? 200)

/** Number of endpoints that a crashing request or part may reach once it must be known, sent by undisturbed VMs. */
const MAX_LATE_SENDS = 3

/** Number of histories with lifts, which are shorter in CI than those without. */
const LIFT_RUNS = Math.ceil(RUNS / 2)

// Guards against a lift that does not reach a VM, or that is undone by older marks, and against one after which crashes no longer count.
test.serial('a lifted request is refused at no undisturbed VM before it crashes endpoints again, and then reaches at most three more', async t => {
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(liftedRequestHistories, async steps => {
    const { lateSendCount, liftedRefusedCount, liftLostCount } = await runHistory(steps, false)
    if (lateSendCount > MAX_LATE_SENDS) throw new Error(`${lateSendCount} late sends`)
    if (liftedRefusedCount > 0) throw new Error(`${liftedRefusedCount} lifted requests refused`)
    if (liftLostCount > 0) throw new Error('a lost lift was not written again')
  }), { seed: SEED, numRuns: LIFT_RUNS, endOnFailure: true }))
})

// Guards against the same of a prompt part.
test.serial('requests with a lifted part are refused at no undisturbed VM before they crash endpoints again, and then reach at most three more', async t => {
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(liftedPartHistories, async steps => {
    const { latePartSendCount, liftedRefusedCount, liftLostCount, soundRefusedCount } = await runHistory(steps, true)
    if (latePartSendCount > MAX_LATE_SENDS) throw new Error(`${latePartSendCount} late sends`)
    if (liftedRefusedCount > 0) throw new Error(`${liftedRefusedCount} requests with a lifted part refused`)
    if (liftLostCount > 0) throw new Error('a lost lift was not written again')
    if (soundRefusedCount > 0) throw new Error(`${soundRefusedCount} sound requests refused`)
  }), { seed: SEED, numRuns: LIFT_RUNS, endOnFailure: true }))
})
