import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { EndpointMembershipSimulation } from './endpointMembershipSimulation.ts'
import type { SimulatedVm } from './endpointMembershipSimulation.ts'

const SEED = Number(process.env.FUZZ_SEED ?? 20261205)
const RUNS = Number(process.env.FUZZ_RUNS ?? 40)
const STEPS = 12
const SETTLE_MS = 8_000
const MAX_STEP_MS = 12_000
const FINAL_MS = 40_000

/** Cuts, restores, pauses and ends VMs' links and endpoints. One VM stays connected and runs on: what it sees is checked. */
function runSeed (seed: number): string[] {
  const clock = FakeTimers.install()
  try {
    const rng = createRng(seed)
    const sim = new EndpointMembershipSimulation(clock, rng, { vms: 2 + rng.drawInt(7), endpoints: 1 + rng.drawInt(20) })
    const sound = sim.vms[rng.drawInt(sim.vms.length)]
    const violations = new Set<string>()
    const dead = new Set<string>()
    /** Starts of endpoints that have ended; only these may be dead. */
    const ended = new Set<string>()
    const check = () => {
      for (const { endpoint, incarnation, state } of sim.listEndpoints(sound)) {
        const start = incarnation.split('~')[0]
        if (state === 'dead' && !ended.has(start)) violations.add(`${endpoint}: ${incarnation} is dead but runs`)
        if (state === 'live' && dead.has(incarnation)) violations.add(`${endpoint}: ${incarnation} is ${state} after it was dead`)
        if (state === 'dead') dead.add(incarnation)
      }
    }
    sim.run(SETTLE_MS, check)
    for (let step = 0; step < STEPS; step++) {
      act(sim, sound, rng, ended)
      sim.run(250 + rng.drawInt(MAX_STEP_MS), check)
    }
    sim.vms.forEach(vm => sim.resume(vm))
    sim.run(FINAL_MS, check)
    const states = new Map(sim.listEndpoints(sound).map(view => [view.endpoint, view.state]))
    for (const { name, isRunning } of sim.endpoints) {
      if (states.get(name) !== (isRunning ? 'live' : 'dead')) violations.add(`${name} is ${states.get(name)}, running ${isRunning}`)
    }
    return [...violations].slice(0, 3)
  } finally {
    clock.uninstall()
  }
}

function act (sim: EndpointMembershipSimulation, sound: SimulatedVm, rng: Rng, ended: Set<string>): void {
  const vm = sim.vms[rng.drawInt(sim.vms.length)]
  const endpoint = sim.endpoints[rng.drawInt(sim.endpoints.length)]
  switch (rng.drawInt(6)) {
    case 0:
    case 1: {
      const link = rng.drawInt(2) === 0 ? 'refused' : 'silent'
      if (vm !== sound) sim.endpoints.forEach(({ name }) => vm.links.set(name, link))
      break
    }
    case 2:
      vm.links.clear()
      break
    case 3:
      if (vm.isPaused) sim.resume(vm)
      else vm.isPaused = vm !== sound
      break
    case 4:
      if (endpoint.isRunning) ended.add(`${endpoint.name}-${endpoint.boot}`)
      endpoint.isRunning = false
      break
    case 5:
      if (!endpoint.isRunning) endpoint.boot++
      endpoint.isRunning = true
  }
}

test.serial('a VM that reaches the endpoints sees them as they are while others are cut off, paused and restored', t => {
  for (let n = 0; n < RUNS; n++) t.deepEqual(runSeed(SEED + n), [], `seed ${SEED + n}`)
})
