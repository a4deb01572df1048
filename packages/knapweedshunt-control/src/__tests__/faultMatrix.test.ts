import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { buildOrganisation, Simulation } from './simulation.ts'

const CENTRES = ['dc-1', 'dc-2', 'dc-3']
const VMS = CENTRES.flatMap(dc => [0, 1, 2].map(i => ({ vm: `${dc}-vm-${i}`, dataCentre: dc })))
const SETTLE_MS = 8_000
const FAULT_MS = 6_000
const HEAL_MS = 30_000
const IN_FORCE_MS = 5_000

/** One fault: put in at a step and taken away after `FAULT_MS` more than a change may take. */
const FAULTS: Record<string, { put: (sim: Simulation) => void, end: (sim: Simulation) => void }> = {
  none: { put: () => {}, end: () => {} },
  'write answer lost': { put: sim => { sim.platform.faults.loseAnswers = 1 }, end: () => {} },
  'write applied late': { put: sim => Object.assign(sim.platform.faults, { applyLate: 1, lateMs: 1_500 }), end: () => {} },
  'platform down': { put: sim => { sim.platform.faults.down = true }, end: sim => { sim.platform.faults.down = false } },
  'platform slow': { put: sim => { sim.platform.faults.delayMs = 400 }, end: sim => { sim.platform.faults.delayMs = 0 } },
  'centre cut from platform': { put: sim => sim.cut('dc-1', 'platform'), end: sim => sim.cuts.clear() },
  'centre cut from others': { put: sim => { sim.cut('dc-1', 'dc-2'); sim.cut('dc-1', 'dc-3') }, end: sim => sim.cuts.clear() },
  'centre cut from both': { put: sim => { sim.cut('dc-1', 'dc-2'); sim.cut('dc-1', 'dc-3'); sim.cut('dc-1', 'platform') }, end: sim => sim.cuts.clear() },
  'messages lost': { put: sim => { sim.bus.lossShare = 0.3 }, end: sim => { sim.bus.lossShare = 0 } },
  'messages doubled and late': { put: sim => Object.assign(sim.bus, { doubleShare: 0.5, lateShare: 0.3, lateMs: 4_000 }), end: sim => Object.assign(sim.bus, { doubleShare: 0, lateShare: 0 }) },
  'VM paused': { put: sim => sim.pause('dc-1-vm-0'), end: sim => sim.wake('dc-1-vm-0') },
  'VM isolated': { put: sim => { sim.running.get('dc-1-vm-0')!.isolated = true }, end: sim => { sim.running.get('dc-1-vm-0')!.isolated = false } },
  'VM killed': { put: sim => sim.kill('dc-1-vm-0', null), end: sim => sim.start('dc-1-vm-0', 'dc-1') },
  'rack killed': { put: sim => { sim.kill('dc-1-vm-0', null); sim.kill('dc-1-vm-1', null) }, end: sim => { sim.start('dc-1-vm-0', 'dc-1'); sim.start('dc-1-vm-1', 'dc-1') } },
  'centre killed': { put: sim => VMS.slice(0, 3).forEach(({ vm }) => sim.kill(vm, null)), end: sim => VMS.slice(0, 3).forEach(({ vm }) => sim.start(vm, 'dc-1')) }
}

/** What is under way when the fault strikes. */
const STEPS: Record<string, (sim: Simulation, clock: Clock) => void> = {
  'applying a change': () => {},
  'passing it on': () => {},
  joining: sim => sim.start('dc-1-vm-9', 'dc-1', 3_000),
  leaving: sim => sim.leave('dc-1-vm-2')
}

for (const step of Object.keys(STEPS)) {
  test.serial(`faults while ${step}`, async t => {
    for (const fault of Object.keys(FAULTS)) await checkCell(t, step, fault)
  })
}

async function checkCell (t: ExecutionContext, step: string, fault: string): Promise<void> {
  const clock = FakeTimers.install()
  const name = `${step}: ${fault}`
  try {
    const sim = new Simulation(11)
    for (const { vm, dataCentre } of VMS) sim.start(vm, dataCentre)
    await pass(clock, sim, 3_000, 0)
    await change(clock, sim, 1)
    await pass(clock, sim, SETTLE_MS, 1)
    STEPS[step](sim, clock)
    if (step === 'passing it on') await change(clock, sim, 2)
    FAULTS[fault].put(sim)
    const reachable = sim.listReachable()
    if (step !== 'passing it on') await change(clock, sim, 2)
    await pass(clock, sim, IN_FORCE_MS, 2)
    const isAccepted = await settle(clock, sim.store.readHead().catch(() => 1)) === 2
    const behind = reachable.filter(vm => sim.running.has(vm) && sim.running.get(vm)!.routerRevision < 2)
    if (isAccepted) t.deepEqual(behind, [], `${name}: behind after ${IN_FORCE_MS} ms`)
    await pass(clock, sim, FAULT_MS, 2)
    const during = await settle(clock, sim.checkInForce('dc-2-vm-1', 2))
    if (fault === 'centre cut from both') t.like(during, { status: 'unknown', message: 'Not reached: dc-1.' }, name)
    FAULTS[fault].end(sim)
    await pass(clock, sim, HEAL_MS, 2)
    await change(clock, sim, 3)
    const head = await settle(clock, sim.store.readHead())
    await pass(clock, sim, 2 * IN_FORCE_MS, head)
    const condition = await settle(clock, sim.checkInForce('dc-2-vm-1', head))
    t.is(condition?.status, 'true', `${name}: ${condition?.message}`)
    t.true([...sim.running.values()].every(one => one.routerRevision === head), name)
    t.deepEqual(sim.problems, [], name)
  } finally {
    clock.uninstall()
  }
}

/** Asks with the same change id until it is accepted or the platform stays away. */
async function change (clock: Clock, sim: Simulation, revision: number): Promise<void> {
  const ops = [{ type: 'put' as const, resource: buildOrganisation('a', revision) }]
  for (let attempt = 0; attempt < 3; attempt++) {
    const result = await settle(clock, sim.store.change({ changeId: `change-${revision}`, ops, expectedRevision: null }).catch(() => null))
    if (result !== null) return
    await clock.tickAsync(800)
  }
}

async function pass (clock: Clock, sim: Simulation, ms: number, revision: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 250) {
    await clock.tickAsync(250)
    await settle(clock, sim.checkInForce(VMS[passed / 250 % VMS.length].vm, revision))
  }
}

async function settle<T> (clock: Clock, promise: Promise<T>): Promise<T> {
  const progress = { isDone: false }
  const settled = promise.finally(() => { progress.isDone = true })
  while (!progress.isDone) await clock.tickAsync(10)
  return settled
}
