import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { Placement } from '../placement.ts'
import { DEFAULT_PLACEMENT_OPTIONS } from '../placementOptions.ts'
import type { PlacedDecision, PlacementEvent } from '../placementTypes.ts'
import { buildSnapshot, createEndpoints, cutRequest, POOL } from './placementHarness.ts'
import type { TrueEndpoint } from './placementHarness.ts'

const SEED = 20_261_203
const RUNS = 400
const ORGANISATIONS = ['hotel', 'rival']
const TEXTS = [['r', 's'], ['r', 't']]
const { evidenceMs, attemptMs } = DEFAULT_PLACEMENT_OPTIONS

/** Faults put between the truth and the placement; the oracle must notice each. */
const BROKEN = ['none', 'one incarnation', 'no organisation', 'one weights version', 'leaving unseen', 'gaps unseen', 'ends forgotten'] as const
type Broken = typeof BROKEN[number]

interface Attempt {
  id: string
  endpoint: number
  generation: number
  startedAtMs: number
}

/** What one endpoint incarnation may hold, by organisation, weights and text. */
interface Truth {
  endpoint: TrueEndpoint
  generation: number
  /** When the placement learned that it came up empty. */
  emptySinceMs: number
  /** Time of the last support of each prefix, and whether it came from a cache event. */
  held: Map<string, { atMs: number, followed: boolean }>
  lastEvent: number | null
  wasLeaving: boolean
}

/** The oracle: tells the placement what happens and checks each answer against the truth. */
class World {
  readonly placement: Placement
  readonly twin: Placement
  readonly truths: Truth[] = [...createEndpoints(2, 'a'), ...createEndpoints(1, 'b')].map(endpoint => ({ endpoint, generation: 0, emptySinceMs: -Infinity, held: new Map(), lastEvent: null, wasLeaving: false }))
  readonly attempts: Attempt[] = []
  readonly ended = new Set<string>()
  kept = new Set<string>()
  weightsVersion = 'w1'
  #revision = 1
  #ids = 0
  readonly #clock: Clock
  readonly #broken: Broken

  constructor (clock: Clock, broken: Broken) {
    this.#clock = clock
    this.#broken = broken
    this.placement = new Placement('a', { seed: 1, ...(broken === 'ends forgotten' ? { attemptMs: 1e12 } : {}) })
    this.twin = new Placement('a', { seed: 2 })
    this.tell()
  }

  wait (ms: number): void {
    this.#clock.tick(ms)
  }

  tell (): void {
    this.#clock.tick(1)
    const views = this.truths.map(({ endpoint }) => this.#disguise(endpoint))
    const weightsVersion = this.#broken === 'one weights version' ? 'w1' : this.weightsVersion
    const snapshot = buildSnapshot(views, performance.now(), this.#revision, weightsVersion)
    this.placement.take({ type: 'snapshot', snapshot })
    this.twin.take({ type: 'snapshot', snapshot })
  }

  restart (i: number): void {
    const truth = this.truths[i]
    const { endpoint } = truth
    this.#renew(truth, { ...endpoint, incarnation: `${endpoint.name}-${truth.generation + 2}`, state: 'live' })
    truth.wasLeaving = false
    this.tell()
  }

  leave (i: number): void {
    this.truths[i].endpoint.state = 'leaving'
    this.truths[i].wasLeaving = true
    this.tell()
  }

  changeWeights (): void {
    this.#revision++
    this.weightsVersion = `w${this.#revision}`
    for (const truth of this.truths) this.#renew(truth, { ...truth.endpoint, weightsVersion: this.weightsVersion })
    this.tell()
  }

  /** Places a request, on one endpoint only if `only` names one. */
  request (organisation: number, text: number, start: boolean, only: number | null): void {
    const name = this.#broken === 'no organisation' ? 'all' : ORGANISATIONS[organisation]
    const levels = cutRequest(name, TEXTS[text], this.#broken === 'one weights version' ? 'w1' : this.weightsVersion)
    const decision = this.placement.place({ pool: POOL, levels, excluded: this.#listExcluded(only) })
    if (decision.type === 'unplaceable') {
      if (this.truths.some((truth, i) => !truth.wasLeaving && i === (only ?? i))) throw new Error('A usable endpoint was not used.')
      return
    }
    const i = this.truths.findIndex(truth => truth.endpoint.name === decision.endpoint)
    this.#checkDecision(decision, this.truths[i], organisation, text, levels)
    if (!start) return
    const attempt = `attempt-${this.#ids++}`
    this.placement.take({ type: 'started', attempt, endpoint: decision.endpoint, tokens: 2_000, levels, decision })
    this.attempts.push({ id: attempt, endpoint: i, generation: this.truths[i].generation, startedAtMs: performance.now() })
    for (const prefix of this.#namePrefixes(organisation, text)) this.truths[i].held.set(prefix, { atMs: performance.now(), followed: false })
  }

  finish (n: number, times: number): void {
    if (this.attempts.length === 0) return
    const [attempt] = this.attempts.splice(n % this.attempts.length, 1)
    for (let i = 0; i < times; i++) this.placement.take({ type: 'finished', attempt: attempt.id, cachedTokens: 0 })
    this.placement.take({ type: 'started', attempt: attempt.id, endpoint: this.truths[attempt.endpoint].endpoint.name, tokens: 5 })
  }

  /** Sends an end before its start. */
  reorder (i: number): void {
    const attempt = `attempt-${this.#ids++}`
    const { name } = this.truths[i].endpoint
    this.placement.take({ type: 'finished', attempt, cachedTokens: null })
    this.placement.take({ type: 'started', attempt, endpoint: name, tokens: 5 })
  }

  follow (i: number, organisation: number, text: number, level: number, type: 'stored' | 'evicted', lost: number, lagMs: number): void {
    const truth = this.truths[i]
    const name = this.#broken === 'no organisation' ? 'all' : ORGANISATIONS[organisation]
    const levels = cutRequest(name, TEXTS[text], this.#broken === 'one weights version' ? 'w1' : this.weightsVersion)
    const n = (truth.lastEvent ?? 0) + 1 + lost
    const { incarnation, weightsVersion } = this.#disguise(truth.endpoint)
    const event: PlacementEvent = { type: 'cacheEvents', endpoint: truth.endpoint.name, incarnation, weightsVersion, lagMs, entries: [{ n: this.#broken === 'gaps unseen' ? n - lost : n, type, key: levels[level].key }] }
    this.placement.take(event)
    this.placement.take(event)
    this.#noteFollowed(truth, this.#namePrefixes(organisation, text)[level], type, lost, performance.now() - lagMs)
    truth.lastEvent = this.#broken === 'gaps unseen' ? n - lost : n
  }

  keep (text: number): void {
    const levels = cutRequest(ORGANISATIONS[0], TEXTS[text], this.weightsVersion)
    this.kept = new Set(levels.map(level => level.key))
    this.placement.take({ type: 'kept', entries: levels })
  }

  checkCounts (): void {
    const now = performance.now()
    const young = this.attempts.filter(attempt => now - attempt.startedAtMs < attemptMs).length
    const { inFlight } = this.placement
    if (inFlight < young || inFlight > this.attempts.length) throw new Error(`${inFlight} in flight, not ${young} to ${this.attempts.length}.`)
    for (const [i, truth] of this.truths.entries()) {
      const most = this.attempts.filter(attempt => attempt.endpoint === i && attempt.generation === truth.generation).length
      const count = this.placement.countInFlight(truth.endpoint.name)
      if (count < 0 || count > most) throw new Error(`${count} in flight on ${truth.endpoint.name}, not 0 to ${most}.`)
    }
  }

  checkQuiet (): void {
    this.#clock.tick(attemptMs + 2_000)
    this.tell()
    if (this.placement.inFlight !== 0) throw new Error(`${this.placement.inFlight} attempts leaked.`)
    if (this.truths.some(truth => this.placement.countInFlight(truth.endpoint.name) !== 0)) throw new Error('An endpoint count leaked.')
  }

  /** A router that starts now ranks as one that heard all snapshots. */
  checkRanks (): void {
    const fresh = new Placement('a', { seed: 3 })
    this.#clock.tick(1)
    fresh.take({ type: 'snapshot', snapshot: buildSnapshot(this.truths.map(({ endpoint }) => this.#disguise(endpoint)), performance.now(), this.#revision, this.weightsVersion) })
    for (const parts of TEXTS) {
      const request = { pool: POOL, levels: cutRequest(ORGANISATIONS[0], parts, this.weightsVersion) }
      if (fresh.rank(request).join() !== this.twin.rank(request).join()) throw new Error('Two routers rank differently.')
    }
  }

  #checkDecision (decision: PlacedDecision, truth: Truth, organisation: number, text: number, levels: Array<{ key: string, tokens: number }>): void {
    if (truth.wasLeaving) throw new Error('New work went to a leaving endpoint.')
    const oldest = performance.now() - evidenceMs
    const prefixes = this.#namePrefixes(organisation, text)
    const depth = prefixes.findLastIndex(prefix => (truth.held.get(prefix)?.atMs ?? -Infinity) >= oldest) + 1
    const most = truth.emptySinceMs >= oldest ? levels[depth - 1]?.tokens ?? 0 : levels[levels.length - 1].tokens
    if ((decision.expectedCachedTokens ?? 0) > most) throw new Error(`${decision.expectedCachedTokens} cached tokens were expected, at most ${most} can be there.`)
    const kvImport = decision.kvImport
    if (kvImport && !(this.kept.has(kvImport.key) && levels.some(level => level.key === kvImport.key))) throw new Error('Another prompt would be imported.')
  }

  #noteFollowed (truth: Truth, prefix: string, type: 'stored' | 'evicted', lost: number, atMs: number): void {
    if (lost > 0 && truth.lastEvent !== null) {
      for (const [key, held] of truth.held) if (held.followed) truth.held.delete(key)
    }
    const known = truth.held.get(prefix)
    if (known !== undefined && known.atMs > atMs) return
    if (type === 'stored') truth.held.set(prefix, { atMs, followed: true })
    else truth.held.delete(prefix)
  }

  #renew (truth: Truth, endpoint: TrueEndpoint): void {
    Object.assign(truth, { endpoint, generation: truth.generation + 1, emptySinceMs: performance.now(), held: new Map(), lastEvent: null })
  }

  #listExcluded (only: number | null): string[] {
    return only === null ? [] : this.truths.filter((_, i) => i !== only).map(truth => truth.endpoint.name)
  }

  #namePrefixes (organisation: number, text: number): string[] {
    return TEXTS[text].map((_, i) => [ORGANISATIONS[organisation], this.weightsVersion, ...TEXTS[text].slice(0, i + 1)].join())
  }

  #disguise (endpoint: TrueEndpoint): TrueEndpoint {
    return {
      ...endpoint,
      incarnation: this.#broken === 'one incarnation' ? 'same' : endpoint.incarnation,
      weightsVersion: this.#broken === 'one weights version' ? 'w1' : endpoint.weightsVersion,
      state: this.#broken === 'leaving unseen' ? 'live' : endpoint.state
    }
  }
}

/** One step of a run. */
class Step implements fc.Command<object, World> {
  readonly #name: string
  readonly #act: (world: World) => void

  constructor (name: string, act: (world: World) => void) {
    this.#name = name
    this.#act = act
  }

  check (): boolean {
    return true
  }

  run (_model: object, world: World): void {
    this.#act(world)
    world.checkCounts()
  }

  toString (): string {
    return this.#name
  }
}

const endpoint = fc.nat(2)
const organisation = fc.nat(1)
const text = fc.nat(1)
const only = fc.option(endpoint)
const lost = fc.constantFrom(0, 0, 2)
const type = fc.constantFrom('stored' as const, 'stored' as const, 'evicted' as const)

const request = fc.tuple(organisation, text, fc.boolean(), only).map(args => new Step(`request ${args}`, world => world.request(...args)))
const follow = fc.tuple(endpoint, organisation, text, fc.nat(1), type, lost, fc.constantFrom(0, 50, 3_000)).map(args => new Step(`follow ${args}`, world => world.follow(...args)))
const wait = fc.constantFrom(5, 400, 5_000, 40_000, 601_000).map(ms => new Step(`wait ${ms}`, world => { world.wait(ms); world.tell() }))
const commands = fc.commands([
  request,
  request,
  request,
  follow,
  follow,
  fc.tuple(fc.nat(9), fc.integer({ min: 1, max: 2 })).map(args => new Step(`finish ${args}`, world => world.finish(...args))),
  endpoint.map(i => new Step(`restart ${i}`, world => world.restart(i))),
  endpoint.map(i => new Step(`leave ${i}`, world => world.leave(i))),
  endpoint.map(i => new Step(`reorder ${i}`, world => world.reorder(i))),
  fc.constant(new Step('change weights', world => world.changeWeights())),
  text.map(x => new Step(`keep ${x}`, world => world.keep(x))),
  wait
], { maxCommands: 80, size: 'max' })

function runFuzz (broken: Broken): void {
  fc.assert(fc.property(commands, steps => {
    const clock = install()
    try {
      const world = new World(clock, broken)
      fc.modelRun(() => ({ model: {}, real: world }), steps)
      if (broken === 'none') world.checkRanks()
      world.checkQuiet()
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS, endOnFailure: broken !== 'none' })
}

test.serial('placement: fuzz against the oracle', t => {
  t.notThrows(() => runFuzz('none'))
})

for (const broken of BROKEN.filter(one => one !== 'none')) {
  test.serial(`placement: fuzz catches ${broken}`, t => {
    t.throws(() => runFuzz(broken))
  })
}
