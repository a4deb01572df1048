import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { SimulatedFleet } from './simulatedFleet.ts'

const VMS = 7
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_204)
const RUNS = Number(process.env.FUZZ_RUNS ?? 200)

/** Number of endpoints that a crashing request may reach after its third crash and {@link STABLE_MS}, sent by undisturbed VMs. */
const MAX_LATE_SENDS = 3

const vm = fc.nat(VMS - 1)
const durationMs = fc.integer({ min: 100, max: 6_000 })
const step = fc.oneof(
  { weight: 8, arbitrary: fc.record({ type: fc.constant('send' as const), vm, neighbourCount: fc.integer({ min: 0, max: 60 }) }) },
  fc.record({ type: fc.constant('harmless' as const), vm, count: fc.integer({ min: 1, max: 60 }) }),
  fc.record({ type: fc.constant('stopStore' as const), durationMs, isSilent: fc.boolean() }),
  fc.record({ type: fc.constant('disconnect' as const), vm, durationMs }),
  fc.record({ type: fc.constant('restart' as const), vm }),
  fc.record({ type: fc.constant('silence' as const) }),
  fc.record({ type: fc.constant('loseAnswers' as const), vm, count: fc.integer({ min: 1, max: 3 }), isLate: fc.boolean() }),
  fc.record({ type: fc.constant('copy' as const) }),
  fc.record({ type: fc.constant('restore' as const), minAgeMs: fc.integer({ min: 0, max: 5_000 }) })
)
const timedSteps = fc.array(fc.tuple(step, fc.integer({ min: 20, max: 1_500 })), { minLength: 5, maxLength: 60, size: 'max' })

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

function applyStep (fleet: SimulatedFleet, step: Step): void {
  switch (step.type) {
    case 'send': return fleet.sendCrashingRequest(step.vm, step.neighbourCount)
    case 'harmless': return fleet.crashUnderHarmlessRequests(step.vm, step.count)
    case 'stopStore': return fleet.stopStore(step.durationMs, step.isSilent)
    case 'disconnect': return fleet.disconnect(step.vm, step.durationMs)
    case 'restart': return fleet.restart(step.vm)
    case 'silence': return fleet.silenceConnections()
    case 'loseAnswers': return fleet.loseAnswers(step.vm, step.count, step.isLate)
    case 'copy': return fleet.copyStore()
    case 'restore': return fleet.restoreStore(step.minAgeMs)
  }
}

async function countLateSends (steps: Array<[Step, number]>): Promise<number> {
  const clock = install()
  const fleet = new SimulatedFleet(VMS)
  try {
    await clock.tickAsync(100)
    for (const [step, ms] of steps) {
      applyStep(fleet, step)
      await clock.tickAsync(ms)
    }
    return fleet.lateSendCount
  } finally {
    fleet.stop()
    clock.uninstall()
  }
}

// Guards against a crashing request that is sent on because a VM does not learn of the crashes that others saw.
test.serial('a crashing request reaches at most three more endpoints, whatever happens to the store and the VMs', async t => {
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(timedSteps, async steps => {
    const lateSendCount = await countLateSends(steps)
    if (lateSendCount > MAX_LATE_SENDS) throw new Error(`${lateSendCount} late sends`)
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true }))
})
