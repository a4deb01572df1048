import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { createRng } from 'knapweedshunt-utils'
import { EndpointMembershipSimulation } from './endpointMembershipSimulation.ts'
import type { Link, SimulatedEndpoint, SimulatedVm } from './endpointMembershipSimulation.ts'

const SETTLE_MS = 8_000
const CUT_MS = 20_000
const DEAD_MS = 4_000
const PAUSE_MS = 12_000

interface Play { vms: number, endpoints: number, earlierVms?: number }

/** Runs a play on a fake clock, after all VMs have polled and exchanged for a while. */
function play (seed: number, counts: Play, act: (sim: EndpointMembershipSimulation) => void): void {
  const clock = FakeTimers.install()
  try {
    const sim = new EndpointMembershipSimulation(clock, createRng(seed), counts)
    sim.run(SETTLE_MS)
    act(sim)
  } finally {
    clock.uninstall()
  }
}

function cut (vm: SimulatedVm, endpoints: SimulatedEndpoint[], link: Link): void {
  for (const { name } of endpoints) vm.links.set(name, link)
}

/** Lists what sound VMs see of running endpoints, except those that they see as live with the first incarnation. */
function listWrong (sim: EndpointMembershipSimulation, sound: SimulatedVm[], isWrong: (state: string) => boolean): string[] {
  const running = new Set(sim.endpoints.filter(one => one.isRunning).map(one => one.name))
  return sound.flatMap(vm => sim.listEndpoints(vm).filter(view => running.has(view.endpoint) && (isWrong(view.state) || view.incarnation !== `${view.endpoint}-1`)).map(view => `${vm.vm}: ${view.endpoint} ${view.state} ${view.incarnation}`))
}

const SIZES: Play[] = [{ vms: 2, endpoints: 4 }, { vms: 3, endpoints: 5 }, { vms: 3, endpoints: 16 }, { vms: 8, endpoints: 16 }, { vms: 9, endpoints: 60 }]
/** Sizes at which each VM ranks first for so many endpoints that it polls no others, as VMs of an earlier build do not. */
const EARLIER_SIZES: Play[] = [{ vms: 2, endpoints: 16 }, { vms: 3, endpoints: 24 }, { vms: 9, endpoints: 120 }]
const LINKS: Link[] = ['refused', 'silent']

function checkCut (t: ExecutionContext, counts: Play, cutCount: number, link: Link): void {
  const name = `${counts.vms} VMs, ${cutCount} cut, ${counts.endpoints} endpoints, ${link}`
  play(5, counts, sim => {
    const sound = sim.vms.slice(cutCount)
    const seen = new Set<string>()
    sim.vms.slice(0, cutCount).forEach(vm => cut(vm, sim.endpoints, link))
    sim.run(CUT_MS, () => listWrong(sim, sound, state => state === 'dead').forEach(one => seen.add(one)))
    t.deepEqual([...seen], [], name)
    t.deepEqual(listWrong(sim, sound, state => state !== 'live'), [], `${name}, settled`)
    t.deepEqual(sim.vms.flatMap(vm => sim.listOutOfService(vm)), [], `${name}, out of service`)
    sim.vms.forEach(vm => vm.links.clear())
    sim.run(SETTLE_MS, () => listWrong(sim, sound, state => state === 'dead').forEach(one => seen.add(one)))
    t.deepEqual([...seen], [], `${name}, restored`)
    t.deepEqual(listWrong(sim, sim.vms, state => state !== 'live'), [], `${name}, restored and settled`)
  })
}

test.serial('VMs that reach no endpoint do not make them dead for the others', t => {
  for (const counts of SIZES) for (const link of LINKS) for (const cutCount of [1, counts.vms - 1]) checkCut(t, counts, cutCount, link)
})

test.serial('an endpoint that ends is dead for all VMs in time', t => {
  for (const counts of SIZES) {
    play(6, counts, sim => {
      sim.endpoints[1].isRunning = false
      sim.run(DEAD_MS)
      const states = sim.vms.map(vm => sim.listEndpoints(vm).find(view => view.endpoint === 'e1')?.state)
      t.deepEqual(new Set(states), new Set(['dead']), `${counts.vms} VMs, ${counts.endpoints} endpoints`)
      sim.endpoints[1].isRunning = true
      sim.run(SETTLE_MS)
      const incarnations = sim.vms.map(vm => sim.listEndpoints(vm).find(view => view.endpoint === 'e1')?.incarnation)
      t.deepEqual(new Set(incarnations), new Set(['e1-1~1']))
    })
  }
})

test.serial('endpoints that end together are dead for all VMs, and back under another incarnation', t => {
  for (const counts of SIZES) {
    play(7, counts, sim => {
      for (const endpoint of sim.endpoints) endpoint.isRunning = false
      sim.run(3 * DEAD_MS)
      const states = sim.vms.flatMap(vm => sim.listEndpoints(vm).map(view => view.state))
      t.deepEqual([states.length, new Set(states)], [counts.vms * counts.endpoints, new Set(['dead'])], `${counts.vms} VMs, ${counts.endpoints} endpoints`)
      for (const endpoint of sim.endpoints) endpoint.isRunning = true
      sim.run(SETTLE_MS)
      const views = sim.vms.flatMap(vm => sim.listEndpoints(vm))
      t.deepEqual(views.filter(view => view.state !== 'live' || view.incarnation !== `${view.endpoint}-1~1`), [])
    })
  }
})

test.serial('a VM that reaches no endpoint and is paused does not make them dead for the others', t => {
  for (const counts of SIZES) {
    play(8, counts, sim => {
      const [paused, ...sound] = sim.vms
      const seen = new Set<string>()
      const watch = () => listWrong(sim, sound, state => state === 'dead').forEach(one => seen.add(one))
      cut(paused, sim.endpoints, 'refused')
      sim.run(1_500, watch)
      paused.isPaused = true
      sim.run(PAUSE_MS, watch)
      sim.resume(paused)
      sim.run(CUT_MS, watch)
      t.deepEqual([...seen], [], `${counts.vms} VMs, ${counts.endpoints} endpoints`)
      t.deepEqual(listWrong(sim, sound, state => state !== 'live'), [])
    })
  }
})

test.serial('a cut VM of an earlier build makes its endpoints dead no longer than until another one polls them', t => {
  for (const counts of EARLIER_SIZES) {
    play(9, { ...counts, earlierVms: 1 }, sim => {
      cut(sim.vms[0], sim.endpoints, 'refused')
      sim.run(CUT_MS)
      t.deepEqual(listWrong(sim, sim.vms.slice(1), state => state !== 'live'), [], `${counts.vms} VMs, ${counts.endpoints} endpoints`)
    })
  }
})

test.serial('VMs of an earlier build do not lose the endpoints of a cut VM of the present one', t => {
  for (const counts of EARLIER_SIZES) {
    play(10, { ...counts, earlierVms: counts.vms - 1 }, sim => {
      const seen = new Set<string>()
      cut(sim.vms[counts.vms - 1], sim.endpoints, 'refused')
      sim.run(CUT_MS, () => listWrong(sim, sim.vms.slice(0, -1), state => state === 'dead').forEach(one => seen.add(one)))
      t.deepEqual([...seen], [], `${counts.vms} VMs, ${counts.endpoints} endpoints`)
    })
  }
})
