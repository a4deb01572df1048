import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { ROLLOUT_STEPS, FleetSimulation } from './fleetSimulation.ts'
import type { RolloutStep, SimControl } from './fleetSimulation.ts'
import type { SimEndpoint } from './simEndpoint.ts'

const SETTLE_MS = 200_000

type FaultInjector = (simulation: FleetSimulation, control: SimControl, endpoint: SimEndpoint) => void

const FAULTS: Array<[string, FaultInjector]> = [
  ['holder killed', (simulation, control) => simulation.startControl(control.name.split('/')[0])],
  ['holder paused', (_, control) => { control.pausedUntilMs = performance.now() + 30_000 }],
  ['holder disconnected from the store', (_, control) => { control.disconnectedUntilMs = performance.now() + 30_000 }],
  ['store read only', (_, control) => { control.readOnlyUntilMs = performance.now() + 30_000 }],
  ['store down', simulation => {
    simulation.platform.faults.down = true
    setTimeout(() => { simulation.platform.faults.down = false }, 30_000)
  }],
  ['write answer lost', simulation => { simulation.platform.faults.loseAnswers = 1 }],
  ['write applied late', simulation => Object.assign(simulation.platform.faults, { applyLate: 1, lateMs: 15_000 })],
  ['command answer lost', simulation => { simulation.lostCommandAnswers = 1 }],
  ['endpoint crashes', (_simulation, _control, endpoint) => endpoint.crash(3_000)],
  ['another endpoint crashes', simulation => simulation.endpoints[5].crash(3_000)],
  ['operator pauses', simulation => {
    simulation.applyRollout('r1', { paused: true })
    setTimeout(() => simulation.applyRollout('r1', { paused: false }), 20_000)
  }],
  ['operator undoes', simulation => {
    simulation.applyRollout('r1', { undo: true })
    setTimeout(() => simulation.applyRollout('r1', { undo: false }), 20_000)
  }]
]

async function runCell (step: RolloutStep, inject: FaultInjector): Promise<{ simulation: FleetSimulation, stepCount: number }> {
  const clock = install()
  try {
    const simulation = new FleetSimulation(7)
    let stepCount = 0
    simulation.onStep = (seen, control, endpoint) => {
      if (seen === step && stepCount++ === 0) inject(simulation, control, endpoint ?? simulation.endpoints[0])
    }
    await clock.tickAsync(30_000)
    simulation.applyRollout('r1', { weightsVersion: 'w2' })
    await clock.tickAsync(SETTLE_MS)
    simulation.stopControls()
    await clock.tickAsync(40_000)
    return { simulation, stepCount }
  } finally {
    clock.uninstall()
  }
}

for (const step of ROLLOUT_STEPS) {
  for (const [fault, inject] of FAULTS) {
    test.serial(`${step}, ${fault}`, async t => {
      const { simulation, stepCount } = await runCell(step, inject)
      t.true(stepCount > 0)
      t.deepEqual(simulation.checker.violations, [])
      t.deepEqual(simulation.endpoints.map(entry => `${entry.weights} ${entry.role}`), simulation.endpoints.map(() => 'w2 serve'))
      t.is(simulation.pool.spec.weightsVersion, 'w2')
      t.is(new Set(simulation.commits.map(commit => commit.key)).size, simulation.commits.length)
    })
  }
}
