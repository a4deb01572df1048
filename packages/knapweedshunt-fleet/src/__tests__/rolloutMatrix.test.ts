import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { ROLLOUT_STEPS, FleetSimulation } from './fleetSimulation.ts'
import type { RolloutStep, SimControl } from './fleetSimulation.ts'
import type { SimEndpoint } from './simEndpoint.ts'

const SETTLE_MS = 200_000

type FaultInjector = (world: FleetSimulation, control: SimControl, endpoint: SimEndpoint) => void

const FAULTS: Array<[string, FaultInjector]> = [
  ['holder killed', (world, control) => world.startControl(control.name.split('/')[0])],
  ['holder paused', (_, control) => { control.pausedUntilMs = performance.now() + 30_000 }],
  ['holder cut from the store', (_, control) => { control.disconnectedUntilMs = performance.now() + 30_000 }],
  ['store read only', (_, control) => { control.readOnlyUntilMs = performance.now() + 30_000 }],
  ['store down', world => {
    world.platform.faults.down = true
    setTimeout(() => { world.platform.faults.down = false }, 30_000)
  }],
  ['write answer lost', world => { world.platform.faults.loseAnswers = 1 }],
  ['write applied late', world => Object.assign(world.platform.faults, { applyLate: 1, lateMs: 15_000 })],
  ['order answer lost', world => { world.lostCommandAnswers = 1 }],
  ['endpoint crashes', (_world, _control, endpoint) => endpoint.crash(3_000)],
  ['another endpoint crashes', world => world.endpoints[5].crash(3_000)],
  ['operator pauses', world => {
    world.applyRollout('r1', { paused: true })
    setTimeout(() => world.applyRollout('r1', { paused: false }), 20_000)
  }],
  ['operator undoes', world => {
    world.applyRollout('r1', { undo: true })
    setTimeout(() => world.applyRollout('r1', { undo: false }), 20_000)
  }]
]

async function runCell (step: RolloutStep, inject: FaultInjector): Promise<{ world: FleetSimulation, times: number }> {
  const clock = install()
  try {
    const world = new FleetSimulation(7)
    let times = 0
    world.onStep = (seen, control, endpoint) => {
      if (seen === step && times++ === 0) inject(world, control, endpoint ?? world.endpoints[0])
    }
    await clock.tickAsync(30_000)
    world.applyRollout('r1', { weightsVersion: 'w2' })
    await clock.tickAsync(SETTLE_MS)
    world.stopControls()
    await clock.tickAsync(40_000)
    return { world, times }
  } finally {
    clock.uninstall()
  }
}

for (const step of ROLLOUT_STEPS) {
  for (const [fault, inject] of FAULTS) {
    test.serial(`${step}, ${fault}`, async t => {
      const { world, times } = await runCell(step, inject)
      t.true(times > 0)
      t.deepEqual(world.checker.violations, [])
      t.deepEqual(world.endpoints.map(entry => `${entry.weights} ${entry.role}`), world.endpoints.map(() => 'w2 serve'))
      t.is(world.pool.spec.weightsVersion, 'w2')
      t.is(new Set(world.commits.map(commit => commit.key)).size, world.commits.length)
    })
  }
}
