import test from 'ava'
import fc from 'fast-check'
import { partHistories, requestHistories, runHistory } from './fleetSteps.ts'

const SEED = Number(process.env.FUZZ_SEED ?? 20_261_204)
const RUNS = Number(process.env.FUZZ_RUNS ?? 200)

/** Number of endpoints that a crashing request or part may reach once it must be known, sent by undisturbed VMs. */
const MAX_LATE_SENDS = 3

// Guards against a crashing request that is sent on because a VM does not learn of the crashes that others saw.
test.serial('a crashing request reaches at most three more endpoints, whatever happens to the store and the VMs', async t => {
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(requestHistories, async steps => {
    const { lateSendCount } = await runHistory(steps, false)
    if (lateSendCount > MAX_LATE_SENDS) throw new Error(`${lateSendCount} late sends`)
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true }))
})

// Guards against requests with a crashing part that are sent on because a VM does not learn of the crashes that others saw.
test.serial('requests with a crashing part reach at most three more endpoints, whatever happens to the store and the VMs', async t => {
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(partHistories, async steps => {
    const { latePartSendCount, soundRefusedCount } = await runHistory(steps, true)
    if (latePartSendCount > MAX_LATE_SENDS) throw new Error(`${latePartSendCount} late sends`)
    if (soundRefusedCount > 0) throw new Error(`${soundRefusedCount} sound requests refused`)
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true }))
})
