import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { EndpointLimitSimulation } from './endpointLimitSimulation.ts'
import type { LimitScenario } from './endpointLimitSimulation.ts'

const SEED = Number(process.env.FUZZ_SEED ?? 20_261_204)
const RUNS = Number(process.env.FUZZ_RUNS ?? 40)
const DURATION_MS = 40_000

/** Requests that an endpoint may get in 4 s: one and a half times its limit and five. */
function computeAllowed (requestsPerS: number): number {
  return 6 * requestsPerS + 5
}

const disturbance = fc.record({
  atMs: fc.integer({ min: 1_000, max: DURATION_MS }),
  vm: fc.nat(15),
  type: fc.constantFrom('restart' as const, 'cut' as const, 'outage' as const, 'remove' as const, 'add' as const),
  durationMs: fc.integer({ min: 200, max: 20_000 })
})

const scenario: fc.Arbitrary<LimitScenario> = fc.record({
  seed: fc.nat(2 ** 30),
  vmCount: fc.constantFrom(1, 2, 4, 8, 12, 30),
  limits: fc.array(fc.constantFrom(0, 0.25, 1, 1.2, 3, 10), { minLength: 1, maxLength: 4 }),
  maxDemandPerS: fc.constantFrom(2, 10, 60),
  demandChangeMs: fc.constantFrom(null, 1_000, 7_000),
  hasQuietTimes: fc.boolean(),
  maxExchangeMs: fc.constantFrom(50, 200, 600),
  disturbances: fc.array(disturbance, { maxLength: 5 }),
  durationMs: fc.constant(DURATION_MS)
})

function runScenario (scenario: LimitScenario): void {
  const clock = install()
  try {
    const simulation = new EndpointLimitSimulation(scenario)
    simulation.start()
    clock.tick(DURATION_MS)
    scenario.limits.forEach((limit, n) => {
      const most = simulation.countMostInWindow(`e${n}`)
      if (most > computeAllowed(limit)) throw new Error(`${most} requests in 4 s at a limit of ${limit} a second`)
    })
  } finally {
    clock.uninstall()
  }
}

// Guards against VMs that together exceed a limit because each keeps it alone, or splits it by reports that the others do not have.
test.serial('VMs together keep the rate limits that endpoints state', t => {
  t.notThrows(() => fc.assert(fc.property(scenario, runScenario), { seed: SEED, numRuns: RUNS, endOnFailure: true }))
})
