import fc from 'fast-check'
import type { OutOfStepFault, OutOfStepScenario } from './outOfStepSimulation.ts'

/** Duration of a history, in milliseconds. */
export const DURATION_MS = 60_000

/** Time after which VMs say which software version is the only one, in milliseconds. */
const OBSERVED_MS = 20_000

const release = fc.record({
  atMs: fc.integer({ min: OBSERVED_MS, max: DURATION_MS - 5_000 }),
  gapMs: fc.constantFrom(0, 200, 1_000, 4_000),
  count: fc.constantFrom(1, 3, 6),
  rolledBackMs: fc.option(fc.constantFrom(300, 1_000, 3_000, 7_000))
})

/** Builds histories in which faults of these types begin shortly before or during a release. */
export function buildScenario (types: OutOfStepFault[]): fc.Arbitrary<OutOfStepScenario> {
  const fault = fc.record({
    offsetMs: fc.integer({ min: -6_000, max: 4_000 }),
    durationMs: fc.integer({ min: 200, max: 12_000 }),
    vms: fc.integer({ min: 1, max: 2 ** 8 - 1 }),
    type: fc.constantFrom(...types)
  })
  return fc.record({
    seed: fc.nat(2 ** 30),
    vmCount: fc.constantFrom(1, 2, 3, 4, 8),
    dataCentreCount: fc.constantFrom(1, 2, 3),
    releases: fc.array(release, { minLength: 1, maxLength: 2 }),
    faults: fc.array(fault, { minLength: 1, maxLength: 4 }),
    maxTakeUpMs: fc.constantFrom(200, 1_500, 6_000),
    isFirstNamed: fc.constantFrom(true, true, false)
  }).map(({ faults, ...rest }) => ({ ...rest, faults: faults.map(({ offsetMs, ...one }) => ({ ...one, atMs: rest.releases[0].atMs + offsetMs })) }))
}
