import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import { buildOrganisation, Simulation } from './simulation.ts'

const CENTRES = ['dc-1', 'dc-2', 'dc-3']

test.serial('calm: in force on every VM', async t => {
  const clock = FakeTimers.install()
  try {
    const sim = new Simulation(1)
    for (const dc of CENTRES) for (let i = 0; i < 4; i++) sim.start(`${dc}-vm-${i}`, dc)
    await clock.tickAsync(10_000)
    for (let n = 0; n < 5; n++) {
      const result = await sim.store.change({ changeId: `change-${n}`, ops: [{ type: 'put', resource: buildOrganisation('a', n + 1) }], expectedRevision: n })
      t.is(result.type, 'accepted')
      let ms = 0
      while ([...sim.running.values()].some(one => one.routerRevision < n + 1) && ms < 20_000) { await clock.tickAsync(100); ms += 100 }
      let force = 0
      while ((await sim.checkInForce('dc-1-vm-0', n + 1))?.status !== 'true' && force < 20_000) { await clock.tickAsync(100); force += 100 }
    }
    t.deepEqual(sim.problems, [])
  } finally {
    clock.uninstall()
  }
})
