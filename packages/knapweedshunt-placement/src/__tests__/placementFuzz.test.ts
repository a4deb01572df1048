import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { Placement } from '../placement.ts'
import { DEFAULT_PLACEMENT_OPTIONS } from '../placementOptions.ts'
import type { PlacedDecision, PlacementEvent } from '../placementTypes.ts'
import { buildSnapshot, createEndpoints, buildRequestLevels, POOL } from './placementHarness.ts'
import type { SimulatedEndpoint } from './placementHarness.ts'

const SEED = 20_261_203
const RUNS = 400
const ORGANISATIONS = ['hotel', 'rival']
const TEXTS = [['r', 's'], ['r', 't']]
const { observationTtlMs, attemptTimeoutMs } = DEFAULT_PLACEMENT_OPTIONS

/** Faults injected into the events that the placement receives; the oracle must detect each of them. */
const INJECTED_FAULTS = ['none', 'incarnation not distinguished', 'organisation not distinguished', 'weights version not distinguished', 'leaving state hidden', 'stream gaps hidden', 'attempt timeout disabled'] as const
type InjectedFault = typeof INJECTED_FAULTS[number]

interface Attempt {
  id: string
  endpoint: number
  generation: number
  startedAtMs: number
}

/** Reference model of one endpoint: what the cache of its incarnation may contain, by organisation, weights and text. */
interface EndpointModel {
  endpoint: SimulatedEndpoint
  generation: number
  /** Time at which the placement learned that the cache was empty. */
  cacheEmptySinceMs: number
  /** Time of the last event after which each prefix may be cached, and whether that was a cache event. */
  held: Map<string, { atMs: number, isFromEvent: boolean }>
  lastEvent: number | null
  wasLeaving: boolean
}

/** Sends events to the placement and checks each decision against the reference models. */
class PlacementOracle {
  readonly placement: Placement
  readonly secondPlacement: Placement
  readonly models: EndpointModel[] = [...createEndpoints(2, 'a'), ...createEndpoints(1, 'b')].map(endpoint => ({ endpoint, generation: 0, cacheEmptySinceMs: -Infinity, held: new Map(), lastEvent: null, wasLeaving: false }))
  readonly attempts: Attempt[] = []
  readonly ended = new Set<string>()
  storedKeys = new Set<string>()
  weightsVersion = 'w1'
  #revision = 1
  #ids = 0
  readonly #clock: Clock
  readonly #fault: InjectedFault

  constructor (clock: Clock, fault: InjectedFault) {
    this.#clock = clock
    this.#fault = fault
    this.placement = new Placement('a', { seed: 1, ...(fault === 'attempt timeout disabled' ? { attemptTimeoutMs: 1e12 } : {}) })
    this.secondPlacement = new Placement('a', { seed: 2 })
    this.publishSnapshot()
  }

  wait (ms: number): void {
    this.#clock.tick(ms)
  }

  publishSnapshot (): void {
    this.#clock.tick(1)
    const views = this.models.map(({ endpoint }) => this.#applyFault(endpoint))
    const weightsVersion = this.#fault === 'weights version not distinguished' ? 'w1' : this.weightsVersion
    const snapshot = buildSnapshot(views, performance.now(), this.#revision, weightsVersion)
    this.placement.handleEvent({ type: 'snapshot', snapshot })
    this.secondPlacement.handleEvent({ type: 'snapshot', snapshot })
  }

  restart (i: number): void {
    const model = this.models[i]
    const { endpoint } = model
    this.#replaceIncarnation(model, { ...endpoint, incarnation: `${endpoint.name}-${model.generation + 2}`, state: 'live' })
    model.wasLeaving = false
    this.publishSnapshot()
  }

  leave (i: number): void {
    this.models[i].endpoint.state = 'leaving'
    this.models[i].wasLeaving = true
    this.publishSnapshot()
  }

  changeWeights (): void {
    this.#revision++
    this.weightsVersion = `w${this.#revision}`
    for (const model of this.models) this.#replaceIncarnation(model, { ...model.endpoint, weightsVersion: this.weightsVersion })
    this.publishSnapshot()
  }

  /** Places a request, restricted to the endpoint with index `only` unless that is null. */
  request (organisation: number, text: number, start: boolean, only: number | null): void {
    const name = this.#fault === 'organisation not distinguished' ? 'all' : ORGANISATIONS[organisation]
    const levels = buildRequestLevels(name, TEXTS[text], this.#fault === 'weights version not distinguished' ? 'w1' : this.weightsVersion)
    const decision = this.placement.place({ pool: POOL, levels, excluded: this.#listExcluded(only) })
    if (decision.type === 'unplaceable') {
      if (this.models.some((model, i) => !model.wasLeaving && i === (only ?? i))) throw new Error('Request unplaceable although a usable endpoint was not excluded.')
      return
    }
    const i = this.models.findIndex(model => model.endpoint.name === decision.endpoint)
    this.#checkDecision(decision, this.models[i], organisation, text, levels)
    if (!start) return
    const attempt = `attempt-${this.#ids++}`
    this.placement.handleEvent({ type: 'started', attempt, endpoint: decision.endpoint, tokens: 2_000, levels, decision })
    this.attempts.push({ id: attempt, endpoint: i, generation: this.models[i].generation, startedAtMs: performance.now() })
    for (const prefix of this.#listPrefixes(organisation, text)) this.models[i].held.set(prefix, { atMs: performance.now(), isFromEvent: false })
  }

  finish (n: number, times: number): void {
    if (this.attempts.length === 0) return
    const [attempt] = this.attempts.splice(n % this.attempts.length, 1)
    for (let i = 0; i < times; i++) this.placement.handleEvent({ type: 'finished', attempt: attempt.id, cachedTokens: 0 })
    this.placement.handleEvent({ type: 'started', attempt: attempt.id, endpoint: this.models[attempt.endpoint].endpoint.name, tokens: 5 })
  }

  /** Sends the end of an attempt before its start. */
  reorder (i: number): void {
    const attempt = `attempt-${this.#ids++}`
    const { name } = this.models[i].endpoint
    this.placement.handleEvent({ type: 'finished', attempt, cachedTokens: null })
    this.placement.handleEvent({ type: 'started', attempt, endpoint: name, tokens: 5 })
  }

  sendCacheEvent (i: number, organisation: number, text: number, level: number, type: 'stored' | 'evicted', lost: number, lagMs: number): void {
    const model = this.models[i]
    const name = this.#fault === 'organisation not distinguished' ? 'all' : ORGANISATIONS[organisation]
    const levels = buildRequestLevels(name, TEXTS[text], this.#fault === 'weights version not distinguished' ? 'w1' : this.weightsVersion)
    const n = (model.lastEvent ?? 0) + 1 + lost
    const { incarnation, weightsVersion } = this.#applyFault(model.endpoint)
    const event: PlacementEvent = { type: 'cacheEvents', endpoint: model.endpoint.name, incarnation, weightsVersion, lagMs, entries: [{ n: this.#fault === 'stream gaps hidden' ? n - lost : n, type, key: levels[level].key }] }
    this.placement.handleEvent(event)
    this.placement.handleEvent(event)
    this.#recordCacheEvent(model, this.#listPrefixes(organisation, text)[level], type, lost, performance.now() - lagMs)
    model.lastEvent = this.#fault === 'stream gaps hidden' ? n - lost : n
  }

  storeKvCaches (text: number): void {
    const levels = buildRequestLevels(ORGANISATIONS[0], TEXTS[text], this.weightsVersion)
    this.storedKeys = new Set(levels.map(level => level.key))
    this.placement.handleEvent({ type: 'kvStore', entries: levels })
  }

  checkCounts (): void {
    const now = performance.now()
    const minInFlight = this.attempts.filter(attempt => now - attempt.startedAtMs < attemptTimeoutMs).length
    const { inFlight } = this.placement
    if (inFlight < minInFlight || inFlight > this.attempts.length) throw new Error(`${inFlight} attempts in flight, expected ${minInFlight} to ${this.attempts.length}.`)
    for (const [i, model] of this.models.entries()) {
      const maxInFlight = this.attempts.filter(attempt => attempt.endpoint === i && attempt.generation === model.generation).length
      const count = this.placement.countInFlight(model.endpoint.name)
      if (count < 0 || count > maxInFlight) throw new Error(`${count} attempts in flight on ${model.endpoint.name}, expected 0 to ${maxInFlight}.`)
    }
  }

  checkNoLeaks (): void {
    this.#clock.tick(attemptTimeoutMs + 2_000)
    this.publishSnapshot()
    if (this.placement.inFlight !== 0) throw new Error(`${this.placement.inFlight} attempts still in flight after the attempt timeout.`)
    if (this.models.some(model => this.placement.countInFlight(model.endpoint.name) !== 0)) throw new Error('The in-flight count of an endpoint is not 0 after the attempt timeout.')
  }

  /** Checks that a router that starts now ranks like one that received all snapshots. */
  checkRanks (): void {
    const fresh = new Placement('a', { seed: 3 })
    this.#clock.tick(1)
    fresh.handleEvent({ type: 'snapshot', snapshot: buildSnapshot(this.models.map(({ endpoint }) => this.#applyFault(endpoint)), performance.now(), this.#revision, this.weightsVersion) })
    for (const parts of TEXTS) {
      const request = { pool: POOL, levels: buildRequestLevels(ORGANISATIONS[0], parts, this.weightsVersion) }
      if (fresh.rank(request).join() !== this.secondPlacement.rank(request).join()) throw new Error('A restarted router and a running one rank endpoints differently.')
    }
  }

  #checkDecision (decision: PlacedDecision, model: EndpointModel, organisation: number, text: number, levels: Array<{ key: string, tokens: number }>): void {
    if (model.wasLeaving) throw new Error('New request placed on a leaving endpoint.')
    const oldestMs = performance.now() - observationTtlMs
    const prefixes = this.#listPrefixes(organisation, text)
    const depth = prefixes.findLastIndex(prefix => (model.held.get(prefix)?.atMs ?? -Infinity) >= oldestMs) + 1
    const maxTokens = model.cacheEmptySinceMs >= oldestMs ? levels[depth - 1]?.tokens ?? 0 : levels[levels.length - 1].tokens
    if ((decision.expectedCachedTokens ?? 0) > maxTokens) throw new Error(`${decision.expectedCachedTokens} cached tokens expected, but at most ${maxTokens} can be cached.`)
    const kvImport = decision.kvImport
    if (kvImport && !(this.storedKeys.has(kvImport.key) && levels.some(level => level.key === kvImport.key))) throw new Error('The KV import is not in the KV store or belongs to another prompt.')
  }

  #recordCacheEvent (model: EndpointModel, prefix: string, type: 'stored' | 'evicted', lost: number, atMs: number): void {
    if (lost > 0 && model.lastEvent !== null) {
      for (const [key, held] of model.held) if (held.isFromEvent) model.held.delete(key)
    }
    const known = model.held.get(prefix)
    if (known !== undefined && known.atMs > atMs) return
    if (type === 'stored') model.held.set(prefix, { atMs, isFromEvent: true })
    else model.held.delete(prefix)
  }

  #replaceIncarnation (model: EndpointModel, endpoint: SimulatedEndpoint): void {
    Object.assign(model, { endpoint, generation: model.generation + 1, cacheEmptySinceMs: performance.now(), held: new Map(), lastEvent: null })
  }

  #listExcluded (only: number | null): string[] {
    return only === null ? [] : this.models.filter((_, i) => i !== only).map(model => model.endpoint.name)
  }

  #listPrefixes (organisation: number, text: number): string[] {
    return TEXTS[text].map((_, i) => [ORGANISATIONS[organisation], this.weightsVersion, ...TEXTS[text].slice(0, i + 1)].join())
  }

  #applyFault (endpoint: SimulatedEndpoint): SimulatedEndpoint {
    return {
      ...endpoint,
      incarnation: this.#fault === 'incarnation not distinguished' ? 'same' : endpoint.incarnation,
      weightsVersion: this.#fault === 'weights version not distinguished' ? 'w1' : endpoint.weightsVersion,
      state: this.#fault === 'leaving state hidden' ? 'live' : endpoint.state
    }
  }
}

/** One command of a fuzz run; the in-flight counts are checked after each. */
class Step implements fc.Command<object, PlacementOracle> {
  readonly #name: string
  readonly #apply: (oracle: PlacementOracle) => void

  constructor (name: string, apply: (oracle: PlacementOracle) => void) {
    this.#name = name
    this.#apply = apply
  }

  check (): boolean {
    return true
  }

  run (_model: object, oracle: PlacementOracle): void {
    this.#apply(oracle)
    oracle.checkCounts()
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

const request = fc.tuple(organisation, text, fc.boolean(), only).map(args => new Step(`request ${args}`, oracle => oracle.request(...args)))
const cacheEvent = fc.tuple(endpoint, organisation, text, fc.nat(1), type, lost, fc.constantFrom(0, 50, 3_000)).map(args => new Step(`cache event ${args}`, oracle => oracle.sendCacheEvent(...args)))
const wait = fc.constantFrom(5, 400, 5_000, 40_000, 601_000).map(ms => new Step(`wait ${ms}`, oracle => { oracle.wait(ms); oracle.publishSnapshot() }))
const commands = fc.commands([
  request,
  request,
  request,
  cacheEvent,
  cacheEvent,
  fc.tuple(fc.nat(9), fc.integer({ min: 1, max: 2 })).map(args => new Step(`finish ${args}`, oracle => oracle.finish(...args))),
  endpoint.map(i => new Step(`restart ${i}`, oracle => oracle.restart(i))),
  endpoint.map(i => new Step(`leave ${i}`, oracle => oracle.leave(i))),
  endpoint.map(i => new Step(`reorder ${i}`, oracle => oracle.reorder(i))),
  fc.constant(new Step('change weights', oracle => oracle.changeWeights())),
  text.map(x => new Step(`store KV caches ${x}`, oracle => oracle.storeKvCaches(x))),
  wait
], { maxCommands: 80, size: 'max' })

function runFuzz (fault: InjectedFault): void {
  fc.assert(fc.property(commands, steps => {
    const clock = install()
    try {
      const oracle = new PlacementOracle(clock, fault)
      fc.modelRun(() => ({ model: {}, real: oracle }), steps)
      if (fault === 'none') oracle.checkRanks()
      oracle.checkNoLeaks()
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS, endOnFailure: fault !== 'none' })
}

test.serial('placement: fuzz against the oracle', t => {
  t.notThrows(() => runFuzz('none'))
})

for (const fault of INJECTED_FAULTS.filter(one => one !== 'none')) {
  test.serial(`placement: fuzz detects ${fault}`, t => {
    t.throws(() => runFuzz(fault))
  })
}
