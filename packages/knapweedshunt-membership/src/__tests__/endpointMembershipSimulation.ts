import type { Clock } from '@sinonjs/fake-timers'
import type { EndpointView, VmView } from 'knapweedshunt-types'
import type { Rng } from 'knapweedshunt-utils'
import { EndpointMembership } from '../endpointMembership.ts'
import { KnownVm } from '../knownVm.ts'
import type { VmDelta } from '../vmDelta.ts'

const TICK_MS = 250
const POLL_MS = 1_000
const EXCHANGE_MS = 500
const PAUSE_SUSPECT_MS = 4_000

export type Link = 'open' | 'refused' | 'silent'

/** Builds of a simulated VM; an earlier one reports whatever it does not reach as dead, and neither sends nor passes on fields that it does not know. */
export type Build = 'present' | 'earlier'

export interface SimulatedVm {
  vm: string
  build: Build
  membership: EndpointMembership
  self: KnownVm
  known: Map<string, KnownVm>
  links: Map<string, Link>
  isPaused: boolean
}

export interface SimulatedEndpoint {
  name: string
  boot: number
  isRunning: boolean
}

/** VMs of one data centre that poll endpoints and exchange their reports, on a fake clock. */
export class EndpointMembershipSimulation {
  readonly vms: SimulatedVm[]
  readonly endpoints: SimulatedEndpoint[]
  readonly #clock: Clock
  readonly #rng: Rng
  #ticks = 0

  constructor (clock: Clock, rng: Rng, counts: { vms: number, endpoints: number, earlierVms?: number }) {
    this.#clock = clock
    this.#rng = rng
    this.endpoints = Array.from({ length: counts.endpoints }, (_, n) => ({ name: `e${n}`, boot: 1, isRunning: true }))
    this.vms = Array.from({ length: counts.vms }, (_, n) => this.#createVm(`vm-${n}`, n < (counts.earlierVms ?? 0) ? 'earlier' : 'present'))
  }

  /** Advances the clock; `onTick` runs after each tick. */
  run (ms: number, onTick: () => void = () => {}): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
      this.#clock.tick(TICK_MS)
      this.#ticks++
      this.vms.filter(one => !one.isPaused).forEach((one, n) => this.#tick(one, n))
      onTick()
    }
  }

  listEndpoints (vm: SimulatedVm): EndpointView[] {
    return vm.membership.listEndpoints(vm.self, this.#listReporters(vm))
  }

  listOutOfService (vm: SimulatedVm): string[] {
    return vm.membership.listOutOfService(vm.self, this.#listReporters(vm))
  }

  /** Ends a pause; as in `VmMembership`, the others get a new period before they are suspect. */
  resume (vm: SimulatedVm): void {
    if (vm.isPaused) for (const known of vm.known.values()) known.lastHeartbeatAtMs = performance.now()
    vm.isPaused = false
  }

  #createVm (vm: string, build: Build): SimulatedVm {
    const view: VmView = { vm, incarnation: `${vm}-incarnation`, dataCentre: 'dc-1', controlUrl: '', routerUrl: '', state: 'live', appliedRevision: 1 }
    const membership = new EndpointMembership()
    membership.setEndpoints(this.endpoints.map(one => one.name))
    return { vm, build, membership, self: new KnownVm(view, 1), known: new Map(), links: new Map(), isPaused: false }
  }

  #listReporters (vm: SimulatedVm): KnownVm[] {
    return [vm.self, ...vm.known.values()]
  }

  #listLive (vm: SimulatedVm): string[] {
    const live = [...vm.known.values()].filter(one => performance.now() - one.lastHeartbeatAtMs < PAUSE_SUSPECT_MS)
    return [vm.vm, ...live.map(one => one.view.vm)].sort()
  }

  #tick (vm: SimulatedVm, n: number): void {
    vm.self.version++
    vm.membership.updateDown(vm.self)
    const live = this.#listLive(vm)
    const polled = vm.membership.listAssigned(vm.self, live, vm.build === 'earlier' ? [] : this.#listReporters(vm))
    this.endpoints.forEach(({ name }, index) => {
      if (polled.includes(name) && (this.#ticks + index + n) % (POLL_MS / TICK_MS) === 0) this.#poll(vm, this.endpoints[index])
    })
    if ((this.#ticks + n) % (EXCHANGE_MS / TICK_MS) === 0) this.#exchange(vm)
  }

  #poll (vm: SimulatedVm, { name, boot, isRunning }: SimulatedEndpoint): void {
    const link = vm.links.get(name) ?? 'open'
    const isAnswered = link === 'open' && isRunning
    if (!isAnswered) return vm.membership.recordUnansweredPoll(name, link !== 'silent')
    vm.membership.recordLoad(vm.self, { endpoint: name, incarnation: `${name}-${boot}`, weightsVersion: 'w1', running: 0, queued: 0, queuedTokens: 0, atMs: 0 })
  }

  #exchange (vm: SimulatedVm): void {
    const others = this.vms.filter(one => one !== vm && !one.isPaused)
    if (others.length === 0) return
    const peer = others[this.#rng.drawInt(others.length)]
    for (const state of this.#listReporters(peer)) {
      const { vm: from } = state.view
      if (from === vm.vm) continue
      const known = vm.known.get(from)
      const delta = state.buildDelta(from, known?.version)
      if (delta !== null) this.#applyDelta(vm, this.#convertDelta(delta, peer.build, from, vm.build))
    }
  }

  #convertDelta (delta: VmDelta, passedOnBy: Build, from: string, receiver: Build): VmDelta {
    if (delta.e === undefined) return delta
    const { lost, extra, ...earlier } = structuredClone(delta.e)
    const owner = this.vms.find(one => one.vm === from)!
    if (owner.build === 'earlier' && (earlier.dead || lost)) {
      const { endpointStatus } = owner.self
      earlier.dead = [...endpointStatus.dead.value, ...endpointStatus.lost.value]
    }
    const isEarlier = owner.build === 'earlier' || passedOnBy === 'earlier' || receiver === 'earlier'
    return { ...delta, e: isEarlier ? earlier : delta.e }
  }

  #applyDelta (vm: SimulatedVm, delta: VmDelta): void {
    const known = vm.known.get(delta.k)
    if (known) {
      known.applyDelta(delta)
      return
    }
    const added = new KnownVm(delta.view!, delta.v)
    added.applyDelta(delta)
    vm.known.set(delta.k, added)
  }
}
