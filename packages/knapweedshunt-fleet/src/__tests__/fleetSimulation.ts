import { MemoryPlatform } from 'knapweedshunt-fakes'
import type { Platform, Transaction } from 'knapweedshunt-platform'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { EndpointView, Resource, ResourceSnapshot, WeightsRolloutSpec } from 'knapweedshunt-types'
import { createRng, sleep } from 'knapweedshunt-utils'
import type { CommandResult } from '../endpointCommand.ts'
import { DEFAULT_FLEET_OPTIONS } from '../fleetOptions.ts'
import type { FleetOptions } from '../fleetOptions.ts'
import type { FleetPorts, Lease, CommandRequest } from '../fleetPorts.ts'
import { FleetTask } from '../fleetTask.ts'
import { buildFleetLeaseKey } from '../leaseState.ts'
import { LeaseTask } from '../leaseTask.ts'
import { RecoveryTask } from '../recoveryTask.ts'
import type { PoolGoal } from '../poolGoal.ts'
import { ROLLOUT_TABLE } from '../rolloutState.ts'
import type { RolloutRow } from '../rolloutState.ts'
import { SimEndpoint } from './simEndpoint.ts'
import { InvariantChecker } from './invariantChecker.ts'

/** Variants of the fleet code: the correct one, and deliberate faults that the invariant checker must detect. */
export type CodeVariant = 'correct' | 'no guard' | 'stale fencing token' | 'fencing token not incremented'

/** Steps of a roll-out at which a test can inject a fault. */
export const ROLLOUT_STEPS = ['claim', 'drain', 'load', 'serve', 'free', 'commit', 'complete'] as const

/** One of {@link ROLLOUT_STEPS}. */
export type RolloutStep = typeof ROLLOUT_STEPS[number]

const POLL_MS = 500
const MAX_GOSSIP_LAG_MS = 2_000
const DEAD_AFTER_MS = 5_000
const POOL = 'language'

/** Fleet tasks of one simulated VM, which can be paused, disconnected from the store or killed. */
export class SimControl {
  readonly name: string
  readonly abort = new AbortController()
  readonly views = new Map<string, { view: EndpointView, receivedAtMs: number }>()
  snapshot: ResourceSnapshot = { revision: 0, resources: [] }
  pausedUntilMs = 0
  disconnectedUntilMs = 0
  /** Until this time the store answers reads but not writes. */
  readOnlyUntilMs = 0
  isKilled = false

  constructor (name: string) {
    this.name = name
  }

  /** Suspends a VM's code after each await while the VM is paused, and permanently once it is killed. */
  async waitWhilePaused (): Promise<void> {
    if (this.isKilled) await new Promise(() => {})
    while (performance.now() < this.pausedUntilMs) await sleep(this.pausedUntilMs - performance.now())
    if (this.isKilled) await new Promise(() => {})
  }
}

/** Simulation of two data centres with two VMs and three endpoints each and one platform, on the fake clock. */
export class FleetSimulation {
  readonly platform = new MemoryPlatform()
  readonly endpoints = ['a', 'b'].flatMap(dataCentre => [1, 2, 3].map(n => new SimEndpoint(`${dataCentre}${n}`, dataCentre, n === 1)))
  readonly checker = new InvariantChecker(this.endpoints)
  readonly controls = new Map<string, SimControl>()
  readonly commits: Array<{ key: string, revision: number }> = []
  lostCommandAnswers = 0
  /** Called with each step of a roll-out before it is applied. */
  onStep: (step: RolloutStep, control: SimControl, endpoint: SimEndpoint | null) => void = () => {}
  resources = new Map<string, Resource>()
  revision = 0
  readonly #rng
  readonly #variant: CodeVariant
  #startedCount = 0

  constructor (seed: number, variant: CodeVariant = 'correct') {
    this.#rng = createRng(seed)
    this.#variant = variant
    const pool = { type: 'model' as const, model: 'm', weightsVersion: 'w1', objective: 'tail' as const, floor: 4, maxParallelLoads: 2 }
    const endpointDefaults = { url: '', weight: 1, cacheBlocks: 1, checksIdempotencyKeys: false, draining: false }
    this.applyChange([
      { kind: 'EndpointPool', name: POOL, revision: 0, spec: pool },
      ...this.endpoints.map((entry): Resource => ({ kind: 'Endpoint', name: entry.name, revision: 0, spec: { ...endpointDefaults, pool: POOL, dataCentre: entry.dataCentre, checksFencing: entry.checksFencing } }))
    ])
    for (const vm of ['a-0', 'a-1', 'b-0', 'b-1']) this.startControl(vm)
    this.#runRequests().catch(() => {})
  }

  get pool () {
    const pool = this.resources.get(`EndpointPool/${POOL}`)
    if (pool?.kind !== 'EndpointPool' || pool.spec.type !== 'model') throw new Error('Model pool not found.')
    return { ...pool, spec: pool.spec }
  }

  /** Applies an accepted change; VMs receive it within two seconds. */
  applyChange (resources: Resource[], deleted: string[] = []): void {
    this.revision++
    for (const resource of resources) this.resources.set(`${resource.kind}/${resource.name}`, { ...resource, revision: this.revision })
    for (const key of deleted) this.resources.delete(key)
    const snapshot = { revision: this.revision, resources: [...this.resources.values()] }
    this.checker.recordSnapshot(snapshot)
    for (const control of this.controls.values()) setTimeout(() => this.#deliverSnapshot(control, snapshot), this.#rng.drawInt(2_000))
  }

  applyRollout (name: string, spec: Partial<WeightsRolloutSpec>): void {
    const present = this.resources.get(`WeightsRollout/${name}`)
    const base = present?.kind === 'WeightsRollout' ? present.spec : { pool: POOL, weightsVersion: 'w2', paused: false, undo: false }
    this.applyChange([{ kind: 'WeightsRollout', name, revision: 0, spec: { ...base, ...spec } }])
  }

  /** Starts a VM named `dataCentre-rank`, after killing the previous one of that name. */
  startControl (vm: string): void {
    const previous = this.controls.get(vm)
    if (previous) previous.isKilled = true
    const control = new SimControl(`${vm}/${++this.#startedCount}`)
    this.controls.set(vm, control)
    control.snapshot = { revision: this.revision, resources: [...this.resources.values()] }
    const options: FleetOptions = { ...DEFAULT_FLEET_OPTIONS, dataCentre: vm[0] }
    const ports = this.#buildPorts(control, Number(vm[2]))
    const lease = this.#buildLease(ports, control, options)
    const tasks = [lease.run(control.abort.signal, () => true), new FleetTask(options, ports, lease).run(control.abort.signal), new RecoveryTask(options, ports).run(control.abort.signal), this.#pollEndpoints(control, vm[0])]
    Promise.all(tasks).catch(error => this.checker.violations.push(String(error)))
  }

  /** Stops every VM's tasks. */
  stopControls (): void {
    for (const control of this.controls.values()) control.abort.abort()
  }

  #deliverSnapshot (control: SimControl, snapshot: ResourceSnapshot): void {
    if (snapshot.revision > control.snapshot.revision) control.snapshot = snapshot
  }

  #buildLease (ports: FleetPorts, control: SimControl, options: FleetOptions): Lease {
    const timing = this.#variant === 'no guard' ? { ...options.lease, guardMs: 0, maxCommandMs: 0 } : options.lease
    const lease = new LeaseTask(ports.platform, buildFleetLeaseKey(options.dataCentre), control.name, timing)
    if (this.#variant !== 'stale fencing token') return lease
    const last = new Map<boolean, number>()
    const readFencing = (checks: boolean): number | null => {
      const fencing = lease.readFencing(checks)
      if (fencing !== null) last.set(checks, fencing)
      return last.get(checks) ?? null
    }
    return { run: (signal, isContender) => lease.run(signal, isContender), readFencing }
  }

  #buildPorts (control: SimControl, rank: number): FleetPorts {
    return {
      platform: this.#buildPlatform(control),
      readResources: () => control.snapshot,
      listViews: () => [...control.views.values()].map(({ view, receivedAtMs }) => ({ ...view, loadAgeMs: performance.now() - receivedAtMs, state: performance.now() - receivedAtMs >= DEAD_AFTER_MS ? 'dead' : 'live' })),
      readReport: async name => {
        await sleep(this.#rng.drawInt(50))
        await control.waitWhilePaused()
        const endpoint = this.endpoints.find(entry => entry.name === name)
        return endpoint?.isUp ? endpoint.buildView().load : null
      },
      sendCommand: call => this.#sendCommand(control, call),
      commitWeights: (goal, revision) => this.#commitWeights(control, goal, revision),
      readRank: () => rank,
      log: { debug () {}, info () {}, warn () {}, error () {} }
    }
  }

  #buildPlatform (control: SimControl): Platform {
    const wrap = async <T>(call: () => Promise<T>): Promise<T> => {
      await control.waitWhilePaused()
      if (performance.now() < control.disconnectedUntilMs) throw new PlatformUnreachableError('VM is disconnected from the store.')
      const outcome = await (async () => await call())().then(value => ({ value }), (error: unknown) => ({ error }))
      await control.waitWhilePaused()
      if ('error' in outcome) throw outcome.error
      return outcome.value
    }
    const { platform } = this
    return {
      read: (table, key) => wrap(() => platform.read(table, key)),
      scan: request => wrap(() => platform.scan(request)),
      transact: transaction => wrap(() => {
        this.#reportRowChange(control, transaction)
        if (performance.now() < control.readOnlyUntilMs) throw new PlatformUnreachableError('Store does not answer writes.')
        return platform.transact(transaction)
      }),
      getObject: name => wrap(() => platform.getObject(name)),
      putObject: (name, text) => wrap(() => platform.putObject(name, text)),
      listVms: () => wrap(() => platform.listVms())
    }
  }

  #reportRowChange (control: SimControl, { writes }: Transaction): void {
    const write = writes[0]
    if (write.type !== 'put' || write.table !== ROLLOUT_TABLE) return
    const next = write.value as RolloutRow
    const present = this.platform.tables.read(ROLLOUT_TABLE, write.key)?.value as RolloutRow | undefined
    const change = next.slots.length - (present?.slots.length ?? 0)
    if (change > 0) this.onStep('claim', control, null)
    if (change < 0) this.onStep('free', control, null)
    if (next.completedKey !== (present?.completedKey ?? '')) this.onStep('complete', control, null)
  }

  async #sendCommand (control: SimControl, call: CommandRequest): Promise<CommandResult> {
    if (control.isKilled || performance.now() < control.pausedUntilMs) return 'lost'
    const fencing = this.#variant === 'fencing token not incremented' ? Math.min(1, call.fencing) : call.fencing
    const endpoint = this.endpoints.find(entry => entry.name === call.command.endpoint)
    if (endpoint === undefined) throw new Error(`Endpoint ${call.command.endpoint} not found.`)
    this.onStep(call.command.type === 'weights' ? 'load' : call.command.role, control, endpoint)
    await sleep(this.#rng.drawInt(100))
    const sent = { ...call, fencing }
    if (!endpoint.isUp) return 'lost'
    if (!endpoint.accepts(sent)) return 'refused'
    const loadMs = 300 + this.#rng.drawInt(9_500)
    const { role, weights } = endpoint
    const isLoad = call.command.type === 'weights' && weights !== call.command.weights.weightsVersion
    this.checker.checkCommand(control.name, sent, endpoint, performance.now() + (isLoad ? loadMs : 0))
    if (role === 'serve' && call.command.type === 'role') endpoint.running = this.#rng.drawInt(3)
    const result = endpoint.run(sent, loadMs)
    if (this.lostCommandAnswers > 0) {
      this.lostCommandAnswers--
      await sleep(this.#rng.drawInt(1_000))
      return 'lost'
    }
    const accepted = await result
    await control.waitWhilePaused()
    return accepted
  }

  async #commitWeights (control: SimControl, goal: PoolGoal, revision: number): Promise<number | null> {
    await control.waitWhilePaused()
    if (this.platform.faults.down || performance.now() < control.disconnectedUntilMs) return null
    const previous = this.commits.find(entry => entry.key === goal.key)
    if (previous) return previous.revision
    if (revision !== this.revision) return null
    this.onStep('commit', control, null)
    this.commits.push({ key: goal.key, revision: revision + 1 })
    this.applyChange([{ ...this.pool, spec: { ...this.pool.spec, weightsVersion: goal.target.weightsVersion } }])
    await sleep(this.#rng.drawInt(500))
    await control.waitWhilePaused()
    return this.#rng.drawInt(3) > 0 ? revision + 1 : null
  }

  async #pollEndpoints (control: SimControl, dataCentre: string): Promise<void> {
    while (!control.abort.signal.aborted && !control.isKilled) {
      await sleep(POLL_MS, control.abort.signal)
      for (const endpoint of this.endpoints.filter(entry => entry.dataCentre === dataCentre && entry.isUp)) {
        const view = endpoint.buildView()
        setTimeout(() => control.views.set(endpoint.name, { view, receivedAtMs: performance.now() }), this.#rng.drawInt(MAX_GOSSIP_LAG_MS))
      }
    }
  }

  /** Ends the requests in flight at drained endpoints one by one. */
  async #runRequests (): Promise<void> {
    for (;;) {
      await sleep(700)
      for (const endpoint of this.endpoints) if (endpoint.role === 'drain') endpoint.running = Math.max(0, endpoint.running - 1)
    }
  }
}
