import type { Clock } from '@sinonjs/fake-timers'
import fc from 'fast-check'
import type { ChangeResult } from 'knapweedshunt-resources'
import type { ResourceChange, Revision } from 'knapweedshunt-types'
import { buildOrganisation, Simulation } from './simulation.ts'
import type { Variant } from './simulation.ts'

const CENTRES = ['dc-1', 'dc-2', 'dc-3']
const VMS = CENTRES.flatMap(dc => [0, 1, 2].map(i => ({ vm: `${dc}-vm-${i}`, dataCentre: dc })))
const STEP_MS = 250
const IN_FORCE_MS = 5_000

/** Time without a new fault after which hand-overs are done, in milliseconds. */
const SETTLE_MS = 7_000

/** One step of a run. */
export type Command =
  | { type: 'change', name: number, expected: 'head' | 'any' | 'stale', fault: 'none' | 'lost' | 'late' }
  | { type: 'race', name: number }
  | { type: 'advance', ms: number }
  | { type: 'pause' | 'wake' | 'restart' | 'leave', at: number }
  | { type: 'isolate', at: number, isolated: boolean }
  | { type: 'kill', at: number, delisted: boolean }
  | { type: 'cut', pair: number }
  | { type: 'heal' }
  | { type: 'bus', lossShare: number, doubleShare: number, lateShare: number, delayMs: number }
  | { type: 'platform', down: boolean }

const at = fc.nat(VMS.length - 1)
const PAIRS = [['dc-1', 'dc-2'], ['dc-1', 'dc-3'], ['dc-2', 'dc-3'], ['dc-1', 'platform'], ['dc-2', 'platform'], ['dc-3', 'platform']]

/** Runs of commands; changes and time come more often than faults. */
export const commandsArbitrary: fc.Arbitrary<Command[]> = fc.array(fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('change' as const), name: fc.nat(4), expected: fc.constantFrom('head' as const, 'any' as const, 'stale' as const), fault: fc.constantFrom('none' as const, 'none' as const, 'lost' as const, 'late' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('race' as const), name: fc.nat(4) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('advance' as const), ms: fc.integer({ min: 100, max: 16_000 }) }) },
  { weight: 5, arbitrary: fc.record({ type: fc.constantFrom('pause' as const, 'wake' as const, 'restart' as const, 'leave' as const), at }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('kill' as const), at, delisted: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('isolate' as const), at, isolated: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('cut' as const), pair: fc.nat(PAIRS.length - 1) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('heal' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('bus' as const), lossShare: fc.constantFrom(0, 0.05, 0.3), doubleShare: fc.constantFrom(0, 0.2), lateShare: fc.constantFrom(0, 0.2), delayMs: fc.constantFrom(0, 50, 400) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('platform' as const), down: fc.boolean() }) }
), { minLength: 10, maxLength: 40 })

/** Runs commands against the oracle, then heals everything. Returns what went wrong. */
export async function runCommands (clock: Clock, seed: number, commands: Command[], variant?: Variant): Promise<string[]> {
  const run = new Run(clock, seed, variant)
  await run.prepare()
  for (const command of commands) await run.do(command)
  await run.finish()
  return run.sim.problems
}

class Run {
  readonly sim: Simulation
  readonly #clock: Clock
  readonly #accepted = new Map<string, Revision>()
  #disturbedAtMs = 0
  #changes = 0
  #asked = 0

  constructor (clock: Clock, seed: number, variant?: Variant) {
    this.#clock = clock
    this.sim = new Simulation(seed, variant)
  }

  async prepare (): Promise<void> {
    for (const { vm, dataCentre } of VMS) this.sim.start(vm, dataCentre)
    await this.#advance(5_000)
    await this.#change('first', 0, null)
    await this.#advance(SETTLE_MS)
  }

  async do (command: Command): Promise<void> {
    const { sim } = this
    const isFault = !['change', 'race', 'advance'].includes(command.type)
    if (isFault) this.#disturbedAtMs = performance.now()
    switch (command.type) {
      case 'change': return this.#changeWithFault(command)
      case 'race': return this.#race(command.name)
      case 'advance': return this.#advance(command.ms)
      case 'pause': return sim.pause(VMS[command.at].vm)
      case 'wake': return sim.wake(VMS[command.at].vm)
      case 'leave': return sim.leave(VMS[command.at].vm)
      case 'kill': return sim.kill(VMS[command.at].vm, command.delisted ? 4_000 : null)
      case 'isolate': {
        const process = sim.running.get(VMS[command.at].vm)
        if (process) process.isolated = command.isolated
        return
      }
      case 'restart': return this.#restart(command.at)
      case 'cut': {
        sim.cut(PAIRS[command.pair][0], PAIRS[command.pair][1])
        return
      }
      case 'heal': return sim.cuts.clear()
      case 'bus': {
        Object.assign(sim.bus, command, { lateMs: 4_000 })
        sim.platform.faults.delayMs = command.delayMs
        return
      }
      case 'platform':
        sim.platform.faults.down = command.down
    }
  }

  /** Heals everything: then every VM must take one more change, and it must be seen to be in force. */
  async finish (): Promise<void> {
    const { sim } = this
    sim.cuts.clear()
    Object.assign(sim.platform.faults, { down: false, delayMs: 0 })
    Object.assign(sim.bus, { lossShare: 0, doubleShare: 0, lateShare: 0 })
    for (const { vm, dataCentre } of VMS) {
      sim.wake(vm)
      const process = sim.running.get(vm)
      if (process) process.isolated = false
      if (!sim.running.has(vm)) sim.start(vm, dataCentre)
    }
    this.#disturbedAtMs = performance.now()
    await this.#advance(40_000)
    await this.#change('last', 0, null)
    await this.#advance(20_000)
    const head = await this.#settle(sim.store.readHead())
    const condition = await this.#settle(sim.checkInForce(VMS[0].vm, head))
    if (condition?.status !== 'true') sim.problems.push(`after all healed, ${head} is not in force: ${condition?.message}`)
    this.#checkHistory()
  }

  async #changeWithFault (command: Command & { type: 'change' }): Promise<void> {
    const { faults } = this.sim.platform
    if (command.fault === 'lost') faults.loseAnswers = 1
    if (command.fault === 'late') Object.assign(faults, { applyLate: 1, lateMs: 1_500 })
    const head = this.sim.platform.faults.down ? 0 : await this.#settle(this.sim.store.readHead())
    const expected = command.expected === 'any' ? null : command.expected === 'head' ? head : Math.max(0, head - 1)
    await this.#change(`change-${this.#changes++}`, command.name, expected)
  }

  /** Two operators change the same thing at the same time, both from the newest revision they know. */
  async #race (name: number): Promise<void> {
    if (this.sim.platform.faults.down) return
    const head = await this.#settle(this.sim.store.readHead())
    const ids = [`race-${this.#changes++}`, `race-${this.#changes++}`]
    const results = await Promise.all(ids.map(id => this.#change(id, name, head)))
    if (results.filter(result => result?.type === 'accepted').length > 1) this.sim.problems.push('both racing operators were accepted')
  }

  /** Asks again with the same id while the platform gives no answer. */
  async #change (changeId: string, name: number, expectedRevision: Revision | null): Promise<ChangeResult | null> {
    const weight = ++this.#asked
    for (let attempt = 0; attempt < 4; attempt++) {
      try {
        const ops = [{ type: 'put' as const, resource: buildOrganisation(`org-${name}`, weight) }]
        const result = await this.#settle(this.sim.store.change({ changeId, ops, expectedRevision }))
        if (result.type === 'accepted') this.#noteAccepted(changeId, result.revision)
        return result
      } catch {
        await this.#advance(1_000)
      }
    }
    return null
  }

  #noteAccepted (changeId: string, revision: Revision): void {
    const known = this.#accepted.get(changeId)
    if (known !== undefined && known !== revision) this.sim.problems.push(`${changeId} became ${known} and ${revision}`)
    this.#accepted.set(changeId, revision)
    const isCalm = performance.now() - this.#disturbedAtMs >= SETTLE_MS
    const wanted = this.sim.listReachable()
    const acceptedAtMs = performance.now()
    if (!isCalm) return
    setTimeout(() => {
      if (this.#disturbedAtMs >= acceptedAtMs) return
      const behind = wanted.filter(vm => (this.sim.running.get(vm)?.routerRevision ?? revision) < revision)
      if (behind.length > 0) this.sim.problems.push(`${revision} is not in force on ${behind.join()} after ${IN_FORCE_MS} ms`)
    }, IN_FORCE_MS)
  }

  #restart (index: number): void {
    const { vm, dataCentre } = VMS[index]
    this.sim.kill(vm, null)
    this.sim.start(vm, dataCentre, 3_000)
  }

  /** Lets time pass until a promise is settled. */
  async #settle<T> (promise: Promise<T>): Promise<T> {
    const progress = { isDone: false }
    const settled = promise.finally(() => { progress.isDone = true })
    settled.catch(() => {})
    while (!progress.isDone) await this.#clock.tickAsync(10)
    return settled
  }

  async #advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.#clock.tickAsync(Math.min(STEP_MS, ms - passed))
      const asker = VMS[(passed / STEP_MS + this.#asked) % VMS.length | 0].vm
      const newest = Math.max(0, ...this.#accepted.values())
      this.sim.checkInForce(asker, newest).catch(error => this.sim.problems.push(String(error)))
    }
  }

  #checkHistory (): void {
    const rows = this.sim.platform.tables.scan({ table: 'resources', prefix: 'change/', limit: 100_000 })
    const changes = rows.map(row => row.value as ResourceChange)
    if (new Set(changes.map(change => change.changeId)).size !== changes.length) this.sim.problems.push('a change id was accepted twice')
    const isGapped = changes.some((change, i) => i > 0 && change.revision !== changes[i - 1].revision + 1)
    if (isGapped) this.sim.problems.push('revisions have a gap')
  }
}
