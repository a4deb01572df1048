import type { Clock } from '@sinonjs/fake-timers'
import fc from 'fast-check'
import type { ChangeResult } from 'knapweedshunt-resources'
import type { ResourceChange, Revision } from 'knapweedshunt-types'
import { buildOrganisation, Simulation } from './simulation.ts'
import type { Variant } from './simulation.ts'

const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3']
const VMS = DATA_CENTRES.flatMap(dc => [0, 1, 2].map(i => ({ vm: `${dc}-vm-${i}`, dataCentre: dc })))
const STEP_MS = 250
const IN_FORCE_MS = 5_000

/** Time without a new fault after which hand-overs between VMs have completed, in milliseconds. */
const SETTLE_MS = 7_000

/** One step of a fuzz run; every type but `change`, `race` and `advance` injects or removes a fault. */
export type Command =
  | { type: 'change', name: number, expected: 'head' | 'any' | 'stale', fault: 'none' | 'lost' | 'late' }
  | { type: 'race', name: number }
  | { type: 'advance', ms: number }
  | { type: 'pause' | 'resume' | 'restart' | 'leave', vmIndex: number }
  | { type: 'isolate', vmIndex: number, isolated: boolean }
  | { type: 'kill', vmIndex: number, delisted: boolean }
  | { type: 'partition', linkIndex: number }
  | { type: 'endPartitions' }
  | { type: 'bus', lossProbability: number, duplicateProbability: number, lateProbability: number, delayMs: number }
  | { type: 'platform', down: boolean }

const vmIndex = fc.nat(VMS.length - 1)
const LINKS = [['dc-1', 'dc-2'], ['dc-1', 'dc-3'], ['dc-2', 'dc-3'], ['dc-1', 'platform'], ['dc-2', 'platform'], ['dc-3', 'platform']]

/** Generates command sequences; changes and advances of the clock are more frequent than faults. */
export const commandsArbitrary: fc.Arbitrary<Command[]> = fc.array(fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('change' as const), name: fc.nat(4), expected: fc.constantFrom('head' as const, 'any' as const, 'stale' as const), fault: fc.constantFrom('none' as const, 'none' as const, 'lost' as const, 'late' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('race' as const), name: fc.nat(4) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('advance' as const), ms: fc.integer({ min: 100, max: 16_000 }) }) },
  { weight: 5, arbitrary: fc.record({ type: fc.constantFrom('pause' as const, 'resume' as const, 'restart' as const, 'leave' as const), vmIndex }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('kill' as const), vmIndex, delisted: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('isolate' as const), vmIndex, isolated: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('partition' as const), linkIndex: fc.nat(LINKS.length - 1) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('endPartitions' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('bus' as const), lossProbability: fc.constantFrom(0, 0.05, 0.3), duplicateProbability: fc.constantFrom(0, 0.2), lateProbability: fc.constantFrom(0, 0.2), delayMs: fc.constantFrom(0, 50, 400) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('platform' as const), down: fc.boolean() }) }
), { minLength: 10, maxLength: 40 })

/** Runs the commands in a simulation, then removes all faults and checks recovery. Returns the invariant violations. */
export async function runCommands (clock: Clock, seed: number, commands: Command[], variant?: Variant): Promise<string[]> {
  const run = new CommandRunner(clock, seed, variant)
  await run.startVms()
  for (const command of commands) await run.runCommand(command)
  await run.checkRecovery()
  return run.sim.violations
}

class CommandRunner {
  readonly sim: Simulation
  readonly #clock: Clock
  readonly #accepted = new Map<string, Revision>()
  #lastFaultAtMs = 0
  #changeCount = 0
  #requestCount = 0

  constructor (clock: Clock, seed: number, variant?: Variant) {
    this.#clock = clock
    this.sim = new Simulation(seed, variant)
  }

  async startVms (): Promise<void> {
    for (const { vm, dataCentre } of VMS) this.sim.start(vm, dataCentre)
    await this.#advance(5_000)
    await this.#change('first', 0, null)
    await this.#advance(SETTLE_MS)
  }

  async runCommand (command: Command): Promise<void> {
    const { sim } = this
    const isFault = !['change', 'race', 'advance'].includes(command.type)
    if (isFault) this.#lastFaultAtMs = performance.now()
    switch (command.type) {
      case 'change': return this.#changeWithFault(command)
      case 'race': return this.#raceChanges(command.name)
      case 'advance': return this.#advance(command.ms)
      case 'pause': return sim.pause(VMS[command.vmIndex].vm)
      case 'resume': return sim.resume(VMS[command.vmIndex].vm)
      case 'leave': return sim.leave(VMS[command.vmIndex].vm)
      case 'kill': return sim.kill(VMS[command.vmIndex].vm, command.delisted ? 4_000 : null)
      case 'isolate': {
        const process = sim.running.get(VMS[command.vmIndex].vm)
        if (process) process.isolated = command.isolated
        return
      }
      case 'restart': return this.#restart(command.vmIndex)
      case 'partition': {
        sim.partition(LINKS[command.linkIndex][0], LINKS[command.linkIndex][1])
        return
      }
      case 'endPartitions': return sim.partitions.clear()
      case 'bus': {
        Object.assign(sim.bus, command, { lateMs: 4_000 })
        sim.platform.faults.delayMs = command.delayMs
        return
      }
      case 'platform':
        sim.platform.faults.down = command.down
    }
  }

  /** Removes all faults; then every VM must apply one more change, and the change must be reported in force. */
  async checkRecovery (): Promise<void> {
    const { sim } = this
    sim.partitions.clear()
    Object.assign(sim.platform.faults, { down: false, delayMs: 0 })
    Object.assign(sim.bus, { lossProbability: 0, duplicateProbability: 0, lateProbability: 0 })
    for (const { vm, dataCentre } of VMS) {
      sim.resume(vm)
      const process = sim.running.get(vm)
      if (process) process.isolated = false
      if (!sim.running.has(vm)) sim.start(vm, dataCentre)
    }
    this.#lastFaultAtMs = performance.now()
    await this.#advance(40_000)
    await this.#change('last', 0, null)
    await this.#advance(20_000)
    const head = await this.#settle(sim.store.readHead())
    const condition = await this.#settle(sim.checkInForce(VMS[0].vm, head))
    if (condition?.status !== 'true') sim.violations.push(`after all faults were removed, revision ${head} is not in force: ${condition?.message}`)
    this.#checkHistory()
  }

  async #changeWithFault (command: Command & { type: 'change' }): Promise<void> {
    const { faults } = this.sim.platform
    if (command.fault === 'lost') faults.loseAnswers = 1
    if (command.fault === 'late') Object.assign(faults, { applyLate: 1, lateMs: 1_500 })
    const head = this.sim.platform.faults.down ? 0 : await this.#settle(this.sim.store.readHead())
    const expected = command.expected === 'any' ? null : command.expected === 'head' ? head : Math.max(0, head - 1)
    await this.#change(`change-${this.#changeCount++}`, command.name, expected)
  }

  /** Two operators change the same resource at the same time, both expecting the current head revision. */
  async #raceChanges (name: number): Promise<void> {
    if (this.sim.platform.faults.down) return
    const head = await this.#settle(this.sim.store.readHead())
    const ids = [`race-${this.#changeCount++}`, `race-${this.#changeCount++}`]
    const results = await Promise.all(ids.map(id => this.#change(id, name, head)))
    if (results.filter(result => result?.type === 'accepted').length > 1) this.sim.violations.push('two concurrent changes of the same expected revision were both accepted')
  }

  /** Retries with the same change id while the platform does not answer. */
  async #change (changeId: string, name: number, expectedRevision: Revision | null): Promise<ChangeResult | null> {
    const weight = ++this.#requestCount
    for (let attempt = 0; attempt < 4; attempt++) {
      try {
        const ops = [{ type: 'put' as const, resource: buildOrganisation(`org-${name}`, weight) }]
        const result = await this.#settle(this.sim.store.change({ changeId, ops, expectedRevision }))
        if (result.type === 'accepted') this.#recordAccepted(changeId, result.revision)
        return result
      } catch {
        await this.#advance(1_000)
      }
    }
    return null
  }

  #recordAccepted (changeId: string, revision: Revision): void {
    const recordedRevision = this.#accepted.get(changeId)
    if (recordedRevision !== undefined && recordedRevision !== revision) this.sim.violations.push(`change ${changeId} was accepted as revision ${recordedRevision} and as ${revision}`)
    this.#accepted.set(changeId, revision)
    const isSettled = performance.now() - this.#lastFaultAtMs >= SETTLE_MS
    const expectedVms = this.sim.listReachable()
    const acceptedAtMs = performance.now()
    if (!isSettled) return
    setTimeout(() => {
      if (this.#lastFaultAtMs >= acceptedAtMs) return
      const outdatedVms = expectedVms.filter(vm => (this.sim.running.get(vm)?.routerRevision ?? revision) < revision)
      if (outdatedVms.length > 0) this.sim.violations.push(`revision ${revision} is not in force on ${outdatedVms.join()} after ${IN_FORCE_MS} ms`)
    }, IN_FORCE_MS)
  }

  #restart (index: number): void {
    const { vm, dataCentre } = VMS[index]
    this.sim.kill(vm, null)
    this.sim.start(vm, dataCentre, 3_000)
  }

  /** Advances the clock until the promise is settled. */
  async #settle<T> (promise: Promise<T>): Promise<T> {
    const progress = { isDone: false }
    const settled = promise.finally(() => { progress.isDone = true })
    settled.catch(() => {})
    while (!progress.isDone) await this.#clock.tickAsync(10)
    return settled
  }

  async #advance (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      await this.#clock.tickAsync(Math.min(STEP_MS, ms - elapsedMs))
      const queriedVm = VMS[(elapsedMs / STEP_MS + this.#requestCount) % VMS.length | 0].vm
      const newestRevision = Math.max(0, ...this.#accepted.values())
      this.sim.checkInForce(queriedVm, newestRevision).catch(error => this.sim.violations.push(String(error)))
    }
  }

  #checkHistory (): void {
    const rows = this.sim.platform.tables.scan({ table: 'resources', prefix: 'change/', limit: 100_000 })
    const changes = rows.map(row => row.value as ResourceChange)
    if (new Set(changes.map(change => change.changeId)).size !== changes.length) this.sim.violations.push('a change id was accepted twice')
    const hasGap = changes.some((change, i) => i > 0 && change.revision !== changes[i - 1].revision + 1)
    if (hasGap) this.sim.violations.push('the accepted revisions have a gap')
  }
}
