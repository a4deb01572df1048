import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { describeRollout } from '../describeRollout.ts'
import { DEFAULT_PLANNER_OPTIONS } from '../plannerTypes.ts'
import { listPoolGoals } from '../poolGoal.ts'
import type { RolloutRow } from '../rolloutState.ts'
import { nameRollout, ROLLOUT_TABLE } from '../rolloutState.ts'
import { FleetSimulation } from './fleetSimulation.ts'
import type { CodeVariant } from './fleetSimulation.ts'

const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203)
const RUNS = Number(process.env.FUZZ_RUNS ?? 60)
const RECOVERY_MS = 240_000
const VMS = ['a-0', 'a-1', 'b-0', 'b-1']
const ENDPOINTS = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3']

const vm = fc.constantFrom(...VMS)
const ms = fc.constantFrom(1_000, 2_000, 4_000, 9_000, 14_000, 30_000)
const stepArbitrary = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('wait' as const), ms }) },
  { weight: 9, arbitrary: fc.record({ type: fc.constant('pause' as const), slot: vm, ms: fc.constantFrom(500, 8_500, 9_000, 9_500, 14_000, 30_000) }) },
  fc.record({ type: fc.constant('cut' as const), slot: vm, ms }),
  { weight: 2, arbitrary: fc.record({ type: fc.constant('readOnly' as const), slot: vm, ms }) },
  fc.record({ type: fc.constant('kill' as const), slot: vm }),
  fc.record({ type: fc.constant('crash' as const), endpoint: fc.constantFrom(...ENDPOINTS), ms }),
  fc.record({ type: fc.constant('down' as const), ms }),
  fc.record({ type: fc.constant('slow' as const), ms: fc.constantFrom(200, 1_500) }),
  fc.record({ type: fc.constant('loseAnswers' as const), count: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ type: fc.constant('applyLate' as const), count: fc.integer({ min: 1, max: 3 }), ms }),
  fc.record({ type: fc.constant('loseOrders' as const), count: fc.integer({ min: 1, max: 3 }) }),
  { weight: 3, arbitrary: fc.record({ type: fc.constant('rollout' as const), name: fc.constantFrom('r1', 'r2'), spec: fc.record({ weightsVersion: fc.constantFrom('w2', 'w3'), paused: fc.boolean(), undo: fc.boolean() }, { requiredKeys: [] }) }) },
  fc.record({ type: fc.constant('delete' as const), name: fc.constantFrom('r1', 'r2') }),
  fc.record({ type: fc.constant('pool' as const), weightsVersion: fc.constantFrom('w1', 'w4') as fc.Arbitrary<string> }),
  fc.record({ type: fc.constant('drain' as const), endpoint: fc.constantFrom(...ENDPOINTS), draining: fc.boolean() })
)
type Step = typeof stepArbitrary extends fc.Arbitrary<infer S> ? S : never

function applyStep (world: FleetSimulation, step: Step): void {
  const { faults } = world.platform
  const control = 'slot' in step ? world.controls.get(step.slot) : undefined
  const now = performance.now()
  switch (step.type) {
    case 'wait': return
    case 'pause': return set(control, { pausedUntilMs: now + step.ms })
    case 'cut': return set(control, { disconnectedUntilMs: now + step.ms })
    case 'readOnly': return set(control, { readOnlyUntilMs: now + step.ms })
    case 'kill': return world.startControl(step.slot)
    case 'crash': return world.endpoints.find(entry => entry.name === step.endpoint)?.crash(step.ms)
    case 'down':
      setTimeout(() => { faults.down = false }, step.ms)
      return set(faults, { down: true })
    case 'slow': return set(faults, { delayMs: step.ms })
    case 'loseAnswers': return set(faults, { loseAnswers: step.count })
    case 'applyLate': return set(faults, { applyLate: step.count, lateMs: step.ms })
    case 'loseOrders': return set(world, { lostCommandAnswers: step.count })
    case 'rollout': return world.applyRollout(step.name, step.spec)
    case 'delete': return world.applyChange([], [`WeightsRollout/${step.name}`])
    case 'pool': return world.applyChange([{ ...world.pool, spec: { ...world.pool.spec, weightsVersion: step.weightsVersion } }])
    case 'drain': {
      const resource = world.resources.get(`Endpoint/${step.endpoint}`)
      if (resource?.kind === 'Endpoint') world.applyChange([{ ...resource, spec: { ...resource.spec, draining: step.draining } }])
    }
  }
}

function set<T extends object> (target: T | undefined, change: Partial<T>): void {
  Object.assign(target ?? {}, change)
}

/** All faults end and the operators ask for w5, with no endpoint drained. */
async function endFaultsAndRollOut (world: FleetSimulation, tick: (ms: number) => Promise<unknown>): Promise<void> {
  Object.assign(world.platform.faults, { down: false, delayMs: 0, loseAnswers: 0, applyLate: 0 })
  world.lostCommandAnswers = 0
  for (const control of world.controls.values()) Object.assign(control, { pausedUntilMs: 0, cutUntilMs: 0, readOnlyUntilMs: 0 })
  await tick(31_000)
  for (const endpoint of ENDPOINTS) applyStep(world, { type: 'drain', endpoint, draining: false })
  world.applyRollout('r1', { weightsVersion: 'w5', paused: false, undo: false })
  await tick(RECOVERY_MS)
}

/** What is wrong after healing: not all moved to w5, not in force, committed twice, or not recorded as complete. */
function listFailures (world: FleetSimulation): string[] {
  const faults = listUnmoved(world, 'w5')
  if (world.pool.spec.weightsVersion !== 'w5') faults.push('w5 is not in force')
  if (new Set(world.commits.map(commit => commit.key)).size !== world.commits.length) faults.push('a roll-out was committed twice')
  const goal = listPoolGoals([...world.resources.values()])[0]
  const row = world.platform.tables.read(ROLLOUT_TABLE, nameRollout('language'))?.value as RolloutRow
  const { reason } = describeRollout(goal, row, DEFAULT_PLANNER_OPTIONS)
  if (reason !== 'Complete' || row.completedKey !== goal.key) faults.push(`the progress says ${reason} of ${row.completedKey}`)
  return faults
}

function listUnmoved (world: FleetSimulation, weights: string): string[] {
  return world.endpoints.filter(entry => entry.weights !== weights || entry.role !== 'serve').map(entry => `${entry.name} has ${entry.weights}, ${entry.role}`)
}

async function runSteps (steps: Step[], seed: number, variant: CodeVariant): Promise<{ world: FleetSimulation, violations: string[] }> {
  const clock = install()
  try {
    const world = new FleetSimulation(seed, variant)
    await clock.tickAsync(30_000)
    world.applyRollout('r1', {})
    await clock.tickAsync(3_000)
    for (const step of steps) {
      applyStep(world, step)
      await clock.tickAsync(step.type === 'wait' ? step.ms : 700)
    }
    const faults: string[] = []
    if (variant === 'whole') {
      await endFaultsAndRollOut(world, time => clock.tickAsync(time))
      faults.push(...listFailures(world))
      applyStep(world, { type: 'pool', weightsVersion: 'w6' })
      await clock.tickAsync(RECOVERY_MS)
      faults.push(...listUnmoved(world, 'w6'))
    }
    world.stopControls()
    await clock.tickAsync(40_000)
    return { world, violations: [...world.checker.violations, ...faults] }
  } finally {
    clock.uninstall()
  }
}

const plan = fc.tuple(fc.array(stepArbitrary, { minLength: 4, maxLength: 16 }), fc.integer({ min: 0, max: 1_000_000 }))

test.serial('roll-outs under faults', async t => {
  let orders = 0
  const details = await fc.check(fc.asyncProperty(plan, async ([steps, seed]) => {
    const { world, violations } = await runSteps(steps, seed, 'whole')
    orders += world.checker.commandCount
    if (violations.length > 0) throw new Error(violations.join('\n'))
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  t.false(details.failed, `${(details.errorInstance as Error | null)?.message} ${JSON.stringify(details.counterexample)}`)
  t.log(`${RUNS} runs, ${orders} orders`)
  t.true(orders > RUNS)
})

/** A slot taken before its endpoint was marked by the operator: the next holder drained the endpoint though the pool was at its floor. */
const DRAINED_IN_SLOT: Step[] = [
  { type: 'rollout', name: 'r1', spec: { weightsVersion: 'w2', paused: true, undo: true } },
  { type: 'crash', endpoint: 'a1', ms: 1_000 },
  { type: 'drain', endpoint: 'b2', draining: true },
  { type: 'pause', slot: 'b-0', ms: 30_000 },
  { type: 'rollout', name: 'r1', spec: { weightsVersion: 'w2', undo: false } },
  { type: 'drain', endpoint: 'a1', draining: true },
  { type: 'pause', slot: 'b-0', ms: 8_500 },
  { type: 'pause', slot: 'b-1', ms: 500 },
  { type: 'pause', slot: 'b-1', ms: 500 },
  { type: 'crash', endpoint: 'b3', ms: 4_000 },
  { type: 'delete', name: 'r2' },
  { type: 'down', ms: 2_000 }
]

test.serial('marked endpoint leaves its slot', async t => {
  t.deepEqual((await runSteps(DRAINED_IN_SLOT, 999_993, 'whole')).violations, [])
})

const FAULTY_VARIANTS: Array<Exclude<CodeVariant, 'whole'>> = ['no guard', 'no re-check', 'no fencing bump']
const MAX_RUNS = 400

for (const variant of FAULTY_VARIANTS) {
  test.serial(`the oracle sees: ${variant}`, async t => {
    let seen: string[] = []
    const property = fc.asyncProperty(plan, async ([steps, seed]) => {
      seen = (await runSteps(steps, seed, variant)).violations
      return seen.length === 0
    })
    const details = await fc.check(property, { seed: SEED, numRuns: MAX_RUNS, endOnFailure: true })
    t.true(details.failed)
    t.log(`seen in run ${details.numRuns}: ${seen[0]}`)
  })
}
