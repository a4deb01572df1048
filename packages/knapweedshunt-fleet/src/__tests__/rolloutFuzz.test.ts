import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { describeRollout } from '../describeRollout.ts'
import { DEFAULT_PLANNER_OPTIONS } from '../plannerTypes.ts'
import { listPoolGoals } from '../poolGoal.ts'
import type { RolloutRow } from '../rolloutState.ts'
import { buildRolloutKey, ROLLOUT_TABLE } from '../rolloutState.ts'
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
  { weight: 9, arbitrary: fc.record({ type: fc.constant('pause' as const), vm, ms: fc.constantFrom(500, 8_500, 9_000, 9_500, 14_000, 30_000) }) },
  fc.record({ type: fc.constant('disconnect' as const), vm, ms }),
  { weight: 2, arbitrary: fc.record({ type: fc.constant('readOnly' as const), vm, ms }) },
  fc.record({ type: fc.constant('kill' as const), vm }),
  fc.record({ type: fc.constant('crash' as const), endpoint: fc.constantFrom(...ENDPOINTS), ms }),
  fc.record({ type: fc.constant('down' as const), ms }),
  fc.record({ type: fc.constant('slow' as const), ms: fc.constantFrom(200, 1_500) }),
  fc.record({ type: fc.constant('loseAnswers' as const), count: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ type: fc.constant('applyLate' as const), count: fc.integer({ min: 1, max: 3 }), ms }),
  fc.record({ type: fc.constant('loseCommandAnswers' as const), count: fc.integer({ min: 1, max: 3 }) }),
  { weight: 3, arbitrary: fc.record({ type: fc.constant('rollout' as const), name: fc.constantFrom('r1', 'r2'), spec: fc.record({ weightsVersion: fc.constantFrom('w2', 'w3'), paused: fc.boolean(), undo: fc.boolean() }, { requiredKeys: [] }) }) },
  fc.record({ type: fc.constant('delete' as const), name: fc.constantFrom('r1', 'r2') }),
  fc.record({ type: fc.constant('pool' as const), weightsVersion: fc.constantFrom('w1', 'w4') as fc.Arbitrary<string> }),
  fc.record({ type: fc.constant('drain' as const), endpoint: fc.constantFrom(...ENDPOINTS), draining: fc.boolean() })
)
type Step = typeof stepArbitrary extends fc.Arbitrary<infer S> ? S : never

function applyStep (simulation: FleetSimulation, step: Step): void {
  const { faults } = simulation.platform
  const control = 'vm' in step ? simulation.controls.get(step.vm) : undefined
  const now = performance.now()
  switch (step.type) {
    case 'wait': return
    case 'pause': return assignTo(control, { pausedUntilMs: now + step.ms })
    case 'disconnect': return assignTo(control, { disconnectedUntilMs: now + step.ms })
    case 'readOnly': return assignTo(control, { readOnlyUntilMs: now + step.ms })
    case 'kill': return simulation.startControl(step.vm)
    case 'crash': return simulation.endpoints.find(entry => entry.name === step.endpoint)?.crash(step.ms)
    case 'down':
      setTimeout(() => { faults.down = false }, step.ms)
      return assignTo(faults, { down: true })
    case 'slow': return assignTo(faults, { delayMs: step.ms })
    case 'loseAnswers': return assignTo(faults, { loseAnswers: step.count })
    case 'applyLate': return assignTo(faults, { applyLate: step.count, lateMs: step.ms })
    case 'loseCommandAnswers': return assignTo(simulation, { lostCommandAnswers: step.count })
    case 'rollout': return simulation.applyRollout(step.name, step.spec)
    case 'delete': return simulation.applyChange([], [`WeightsRollout/${step.name}`])
    case 'pool': return simulation.applyChange([{ ...simulation.pool, spec: { ...simulation.pool.spec, weightsVersion: step.weightsVersion } }])
    case 'drain': {
      const resource = simulation.resources.get(`Endpoint/${step.endpoint}`)
      if (resource?.kind === 'Endpoint') simulation.applyChange([{ ...resource, spec: { ...resource.spec, draining: step.draining } }])
    }
  }
}

function assignTo<T extends object> (target: T | undefined, change: Partial<T>): void {
  Object.assign(target ?? {}, change)
}

/** Ends all faults and all drains, then rolls out w5. */
async function endFaultsAndRollOut (simulation: FleetSimulation, tick: (ms: number) => Promise<unknown>): Promise<void> {
  Object.assign(simulation.platform.faults, { down: false, delayMs: 0, loseAnswers: 0, applyLate: 0 })
  simulation.lostCommandAnswers = 0
  for (const control of simulation.controls.values()) Object.assign(control, { pausedUntilMs: 0, disconnectedUntilMs: 0, readOnlyUntilMs: 0 })
  await tick(31_000)
  for (const endpoint of ENDPOINTS) applyStep(simulation, { type: 'drain', endpoint, draining: false })
  simulation.applyRollout('r1', { weightsVersion: 'w5', paused: false, undo: false })
  await tick(RECOVERY_MS)
}

/** Lists failures to recover once the faults have ended: endpoints not moved to w5, w5 not in force, a roll-out committed twice, or not recorded as complete. */
function listFailures (simulation: FleetSimulation): string[] {
  const failures = listUnmoved(simulation, 'w5')
  if (simulation.pool.spec.weightsVersion !== 'w5') failures.push('w5 is not in force')
  if (new Set(simulation.commits.map(commit => commit.key)).size !== simulation.commits.length) failures.push('a roll-out was committed twice')
  const goal = listPoolGoals([...simulation.resources.values()])[0]
  const row = simulation.platform.tables.read(ROLLOUT_TABLE, buildRolloutKey('language'))?.value as RolloutRow
  const { reason } = describeRollout(goal, row, DEFAULT_PLANNER_OPTIONS)
  if (reason !== 'Complete' || row.completedKey !== goal.key) failures.push(`progress is ${reason}, completed key is ${row.completedKey}`)
  return failures
}

function listUnmoved (simulation: FleetSimulation, weights: string): string[] {
  return simulation.endpoints.filter(entry => entry.weights !== weights || entry.role !== 'serve').map(entry => `${entry.name} has ${entry.weights}, ${entry.role}`)
}

async function runSteps (steps: Step[], seed: number, variant: CodeVariant): Promise<{ simulation: FleetSimulation, violations: string[] }> {
  const clock = install()
  try {
    const simulation = new FleetSimulation(seed, variant)
    await clock.tickAsync(30_000)
    simulation.applyRollout('r1', {})
    await clock.tickAsync(3_000)
    for (const step of steps) {
      applyStep(simulation, step)
      await clock.tickAsync(step.type === 'wait' ? step.ms : 700)
    }
    const failures: string[] = []
    if (variant === 'correct') {
      await endFaultsAndRollOut(simulation, time => clock.tickAsync(time))
      failures.push(...listFailures(simulation))
      applyStep(simulation, { type: 'pool', weightsVersion: 'w6' })
      await clock.tickAsync(RECOVERY_MS)
      failures.push(...listUnmoved(simulation, 'w6'))
    }
    simulation.stopControls()
    await clock.tickAsync(40_000)
    return { simulation, violations: [...simulation.checker.violations, ...failures] }
  } finally {
    clock.uninstall()
  }
}

const plan = fc.tuple(fc.array(stepArbitrary, { minLength: 4, maxLength: 16 }), fc.integer({ min: 0, max: 1_000_000 }))

test.serial('roll-outs under faults', async t => {
  let commandCount = 0
  const details = await fc.check(fc.asyncProperty(plan, async ([steps, seed]) => {
    const { simulation, violations } = await runSteps(steps, seed, 'correct')
    commandCount += simulation.checker.commandCount
    if (violations.length > 0) throw new Error(violations.join('\n'))
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  t.false(details.failed, `${(details.errorInstance as Error | null)?.message} ${JSON.stringify(details.counterexample)}`)
  t.log(`${RUNS} runs, ${commandCount} commands`)
  t.true(commandCount > RUNS)
})

/** Guards against this failure: a slot was claimed before the operator drained its endpoint, and the next lease holder then drained the endpoint although the pool was at its floor. */
const DRAINED_IN_SLOT: Step[] = [
  { type: 'rollout', name: 'r1', spec: { weightsVersion: 'w2', paused: true, undo: true } },
  { type: 'crash', endpoint: 'a1', ms: 1_000 },
  { type: 'drain', endpoint: 'b2', draining: true },
  { type: 'pause', vm: 'b-0', ms: 30_000 },
  { type: 'rollout', name: 'r1', spec: { weightsVersion: 'w2', undo: false } },
  { type: 'drain', endpoint: 'a1', draining: true },
  { type: 'pause', vm: 'b-0', ms: 8_500 },
  { type: 'pause', vm: 'b-1', ms: 500 },
  { type: 'pause', vm: 'b-1', ms: 500 },
  { type: 'crash', endpoint: 'b3', ms: 4_000 },
  { type: 'delete', name: 'r2' },
  { type: 'down', ms: 2_000 }
]

test.serial('endpoint drained by the operator leaves its slot', async t => {
  t.deepEqual((await runSteps(DRAINED_IN_SLOT, 999_993, 'correct')).violations, [])
})

const FAULTY_VARIANTS: Array<Exclude<CodeVariant, 'correct'>> = ['no guard', 'stale fencing token', 'fencing token not incremented']
const MAX_RUNS = 400

for (const variant of FAULTY_VARIANTS) {
  test.serial(`invariant checker detects: ${variant}`, async t => {
    let violations: string[] = []
    const property = fc.asyncProperty(plan, async ([steps, seed]) => {
      violations = (await runSteps(steps, seed, variant)).violations
      return violations.length === 0
    })
    const details = await fc.check(property, { seed: SEED, numRuns: MAX_RUNS, endOnFailure: true })
    t.true(details.failed)
    t.log(`detected in run ${details.numRuns}: ${violations[0]}`)
  })
}
