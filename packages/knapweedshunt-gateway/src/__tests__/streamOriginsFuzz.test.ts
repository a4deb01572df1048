import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { StreamOriginsSimulation } from './streamOriginsSimulation.ts'
import type { OriginsCounts, OriginsScenario } from './streamOriginsSimulation.ts'

const SEED = Number(process.env.FUZZ_SEED ?? 20_261_204)
const RUNS = Number(process.env.FUZZ_RUNS ?? 60)
const DURATION_MS = 70_000

/** Share of the streams that must be known when nothing but releases happens. */
const MIN_KNOWN_SHARE = 0.9

/** Share of the streams that must be known when all VMs end at once, of those that began before and are taken up after it. */
const MIN_KNOWN_AFTER_RESTART_SHARE = 0.7

const disturbance = fc.record({
  atMs: fc.integer({ min: 500, max: DURATION_MS }),
  vm: fc.nat(15),
  type: fc.constantFrom('restart' as const, 'restart' as const, 'cut' as const, 'outage' as const, 'restartAll' as const, 'restartAll' as const, 'copy' as const, 'restore' as const),
  durationMs: fc.integer({ min: 200, max: 15_000 })
})

function buildScenario (disturbances: fc.Arbitrary<OriginsScenario['disturbances']>): fc.Arbitrary<OriginsScenario> {
  return fc.record({
    seed: fc.nat(2 ** 30),
    vmCount: fc.constantFrom(1, 2, 4, 8),
    releases: fc.array(fc.record({ atMs: fc.integer({ min: 1_000, max: DURATION_MS }), gapMs: fc.constantFrom(0, 200, 1_000, 4_000) }), { maxLength: 3 }),
    disturbances,
    maxDirectoryMs: fc.constantFrom(20, 500, 2_000),
    streamIntervalMs: fc.constantFrom(40, 150),
    maxTakeUpMs: fc.constantFrom(200, 3_000, 7_000)
  })
}

async function runScenario (scenario: OriginsScenario, minKnownShare: number): Promise<OriginsCounts> {
  const clock = install()
  try {
    const simulation = new StreamOriginsSimulation(scenario)
    simulation.start()
    await clock.tickAsync(DURATION_MS)
    const { asked, known, wrong } = simulation.counts
    if (wrong > 0) throw new Error(`${wrong} of ${asked} streams would go on at another software version`)
    if (known < asked * minKnownShare) throw new Error(`${known} of ${asked} streams known`)
    return simulation.counts
  } finally {
    clock.uninstall()
  }
}

// Guards against a guess at the software version that began a stream, whichever VMs restart or are cut off while versions change.
test.serial('no stream is said to have begun at another software version, whatever happens to the VMs and the store', async t => {
  await t.notThrowsAsync(async () => await fc.assert(fc.asyncProperty(buildScenario(fc.array(disturbance, { maxLength: 5 })), async scenario => { await runScenario(scenario, 0) }), { seed: SEED, numRuns: RUNS, endOnFailure: true }))
})

// Guards against streams that are lost with all VMs, though several software versions serve.
test.serial('streams are known after all VMs have restarted at once while a release goes on', async t => {
  const restarts = fc.array(fc.record({ atMs: fc.integer({ min: 6_000, max: 25_000 }), vm: fc.constant(0), type: fc.constant('restartAll' as const), durationMs: fc.constant(0) }), { minLength: 1, maxLength: 2 })
  const scenarios = buildScenario(restarts).map(scenario => ({ ...scenario, releases: [{ atMs: 1_000, gapMs: 4_000 }], maxTakeUpMs: 7_000 }))
  let [asked, known] = [0, 0]
  await t.notThrowsAsync(async () => await fc.assert(fc.asyncProperty(scenarios, async scenario => {
    const counts = await runScenario(scenario, 0)
    asked += counts.askedAfterRestart
    known += counts.knownAfterRestart
  }), { seed: SEED, numRuns: Math.ceil(RUNS / 4), endOnFailure: true }))
  t.log(`${known} of ${asked} streams known`)
  t.true(known >= asked * MIN_KNOWN_AFTER_RESTART_SHARE, `${known} of ${asked} streams known`)
})

// Guards against VMs that know few streams, so that none is wrong.
test.serial('streams are known while releases go on', async t => {
  await t.notThrowsAsync(async () => await fc.assert(fc.asyncProperty(buildScenario(fc.constant([])), async scenario => { await runScenario(scenario, MIN_KNOWN_SHARE) }), { seed: SEED, numRuns: RUNS, endOnFailure: true }))
})
