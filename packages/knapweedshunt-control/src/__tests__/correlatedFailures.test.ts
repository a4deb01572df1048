import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { buildOrganisation, Simulation } from './simulation.ts'

const VMS = ['dc-1', 'dc-2', 'dc-3'].flatMap(dc => [0, 1, 2, 3].map(i => ({ vm: `${dc}-vm-${i}`, dataCentre: dc })))
const IN_FORCE_MS = 5_000
const DRAIN_PROPAGATION_MS = 3_000
const JOIN_MS = 10_000

async function withSimulation (run: (sim: Simulation, clock: Clock) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install()
  try {
    const sim = new Simulation(1)
    for (const { vm, dataCentre } of VMS) sim.start(vm, dataCentre)
    await clock.tickAsync(3_000)
    await applyChange(sim, 1)
    await clock.tickAsync(10_000)
    await run(sim, clock)
  } finally {
    clock.uninstall()
  }
}

async function applyChange (sim: Simulation, revision: number): Promise<void> {
  await sim.store.change({ changeId: `change-${revision}`, ops: [{ type: 'put', resource: buildOrganisation('a', revision) }], expectedRevision: null })
}

function listOutdatedVms (sim: Simulation, revision: number): string[] {
  return [...sim.running.values()].filter(simVm => simVm.routerRevision < revision).map(simVm => simVm.vm)
}

/** Marking an endpoint as draining is an ordinary change: until every router has it, the endpoint still gets new requests. */
test.serial('every router learns in time that an endpoint is draining, so that it gets no new requests', t => withSimulation(async (sim, clock) => {
  for (let revision = 2; revision < 12; revision++) {
    await applyChange(sim, revision)
    await clock.tickAsync(DRAIN_PROPAGATION_MS)
    t.deepEqual(listOutdatedVms(sim, revision), [])
  }
}))

test.serial('half of the VMs restart at once: they rejoin in time and do not overload the platform', t => withSimulation(async (sim, clock) => {
  for (const { vm } of VMS.filter((_, i) => i % 2 === 0)) sim.kill(vm, null)
  const before = sim.platform.counts.reads
  for (const { vm, dataCentre } of VMS.filter((_, i) => i % 2 === 0)) sim.start(vm, dataCentre)
  await applyChange(sim, 2)
  await clock.tickAsync(JOIN_MS)
  t.deepEqual(listOutdatedVms(sim, 2), [])
  t.is((await sim.checkInForce('dc-1-vm-1', 2))?.status, 'true')
  t.deepEqual(sim.violations, [])
  t.true(sim.platform.counts.reads - before < VMS.length * JOIN_MS / 1_000)
}))

test.serial('a rack fails: a change is in force only after its VMs are delisted', t => withSimulation(async (sim, clock) => {
  for (const vm of ['dc-1-vm-0', 'dc-1-vm-1']) sim.kill(vm, 20_000)
  await applyChange(sim, 2)
  await clock.tickAsync(IN_FORCE_MS)
  t.deepEqual(listOutdatedVms(sim, 2), [])
  t.not((await sim.checkInForce('dc-2-vm-0', 2))?.status, 'true')
  await clock.tickAsync(30_000)
  t.is((await sim.checkInForce('dc-2-vm-0', 2))?.status, 'true')
}))

test.serial('long platform outage: a restarted VM gets the resources from its peers', t => withSimulation(async (sim, clock) => {
  sim.platform.faults.down = true
  await clock.tickAsync(60_000)
  t.is((await sim.checkInForce('dc-1-vm-0', 1))?.reason, 'PlatformNotReached')
  sim.kill('dc-1-vm-0', null)
  sim.start('dc-1-vm-0', 'dc-1')
  await clock.tickAsync(JOIN_MS)
  t.deepEqual(listOutdatedVms(sim, 1), [], 'a VM restarted at the same address must be found by its peers and get the snapshot from them')
  sim.platform.faults.down = false
  await clock.tickAsync(JOIN_MS)
  await applyChange(sim, 2)
  await clock.tickAsync(IN_FORCE_MS)
  t.deepEqual(listOutdatedVms(sim, 2), [])
}))

test.serial('platform reads do not grow with the number of VMs', t => withSimulation(async (sim, clock) => {
  const countReads = async () => {
    const before = sim.platform.counts.reads
    await clock.tickAsync(20_000)
    return sim.platform.counts.reads - before
  }
  const readsBefore = await countReads()
  for (let i = 4; i < 12; i++) sim.start(`dc-1-vm-${i}`, 'dc-1')
  await clock.tickAsync(JOIN_MS)
  t.true(await countReads() <= readsBefore * 1.2)
}))
