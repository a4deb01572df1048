import test from 'ava'
import fc from 'fast-check'
import { install } from '@sinonjs/fake-timers'
import { DEFAULT_RETRY_BUDGET, RetryBudget } from '../retryBudget.ts'
import { SuspectLane } from '../suspectLane.ts'
import type { LaneGrant } from '../suspectLane.ts'
import type { SuspectMark } from '../suspectMark.ts'
import { nameFingerprint, SuspectRegistry } from '../suspectRegistry.ts'

const SEED = 20_261_203
const RUNS = 2_000
const ROUTERS = 3
const ENDPOINTS = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6']
const POISON = nameFingerprint('a', 'poison')

function check (isTrue: boolean, what: string): void {
  if (!isTrue) throw new Error(what)
}

interface Flight {
  router: number
  request: string
  endpoint: string
  startedAtMs: number
}

/** Routers that exchange marks over endpoints that crash; knows each request's crashes. */
class Fleet {
  readonly routers = Array.from({ length: ROUTERS }, () => new SuspectRegistry())
  readonly #deliver: boolean
  readonly #crashes = new Map<string, number>()
  #flights: Flight[] = []
  kills = 0

  constructor (deliver: boolean) {
    this.#deliver = deliver
  }

  /** An innocent request; a suspect waits while its router has others on the endpoint. */
  start (flight: Flight): void {
    const state = this.routers[flight.router].check(flight.request)
    if (state.type === 'quarantined') return check((this.#crashes.get(flight.request) ?? 0) >= 2, 'an innocent request was quarantined')
    const isShared = this.#flights.some(one => one.endpoint === flight.endpoint && one.router === flight.router)
    if (state.type === 'clear' || !isShared) this.#flights.push(flight)
  }

  finish (n: number): void {
    const [flight] = this.#flights.splice(n % Math.max(1, this.#flights.length), 1)
    if (flight === undefined) return
    const wasSuspect = this.routers[flight.router].check(flight.request).type === 'suspect'
    const mark = this.routers[flight.router].noteSuccess(flight.request)
    check(!wasSuspect || this.routers[flight.router].check(flight.request).type === 'clear', 'a success cleared nothing')
    if (mark !== null) this.#announce(flight.router, mark)
    if (wasSuspect) this.#crashes.delete(flight.request)
  }

  crash (endpoint: string): void {
    const hit = this.#flights.filter(one => one.endpoint === endpoint)
    this.#flights = this.#flights.filter(one => one.endpoint !== endpoint)
    for (const request of new Set(hit.map(one => one.request))) this.#crashes.set(request, (this.#crashes.get(request) ?? 0) + 1)
    const marks = hit.map(one => ({ router: one.router, mark: this.routers[one.router].noteCrash(one.request, endpoint, one.startedAtMs) }))
    for (const { router, mark } of marks) this.#announce(router, mark)
  }

  /** The crashing request; its caller sends it again as soon as it failed. */
  poison (router: number, endpoint: string): void {
    if (this.routers[router].check(POISON).type === 'quarantined') return
    this.#flights.push({ router, request: POISON, endpoint, startedAtMs: performance.now() })
    this.crash(endpoint)
    this.kills++
    check(this.kills <= 2, `${this.kills} endpoints killed`)
  }

  #announce (from: number, mark: SuspectMark): void {
    if (!this.#deliver) return
    this.routers.forEach((registry, i) => { if (i !== from) registry.takeMark(JSON.parse(JSON.stringify(mark))) })
  }
}

const router = fc.nat(ROUTERS - 1)
const endpoint = fc.constantFrom(...ENDPOINTS)
const fleetStep = fc.oneof(
  fc.record({ type: fc.constant('start' as const), router, endpoint, request: fc.constantFrom('i1', 'i2', 'i3') }),
  fc.record({ type: fc.constant('finish' as const), n: fc.nat(9) }),
  fc.record({ type: fc.constant('crash' as const), endpoint }),
  fc.record({ type: fc.constant('poison' as const), router, endpoint }),
  fc.record({ type: fc.constant('join' as const), router })
)

function runFleet (deliver: boolean): void {
  fc.assert(fc.property(fc.array(fc.tuple(fleetStep, fc.integer({ min: 1, max: 5_000 })), { maxLength: 80, size: 'max' }), steps => {
    const clock = install()
    try {
      const fleet = new Fleet(deliver)
      for (const [step, ms] of steps) {
        clock.tick(ms)
        switch (step.type) {
          case 'start': fleet.start({ ...step, startedAtMs: performance.now() }); break
          case 'finish': fleet.finish(step.n); break
          case 'crash': fleet.crash(step.endpoint); break
          case 'poison': fleet.poison(step.router, step.endpoint); break
          case 'join': joinFleet(fleet, step.router)
        }
      }
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS })
}

/** A router restarts with nothing and hears all marks of the others. */
function joinFleet (fleet: Fleet, n: number): void {
  const marks = fleet.routers.flatMap((registry, i) => i === n ? [] : registry.listMarks())
  fleet.routers[n] = new SuspectRegistry()
  for (const mark of marks) fleet.routers[n].takeMark(mark)
}

test.serial('a crashing request kills two endpoints wherever it is sent again', t => {
  t.notThrows(() => runFleet(true))
  t.regex(String(t.throws(() => runFleet(false))?.cause), /3 endpoints killed/)
})

const laneStep = fc.record({ type: fc.constantFrom('normal' as const, 'suspect' as const, 'suspect' as const, 'finish' as const, 'finish' as const), n: fc.nat(30) })

/** Plays a router's attempts on a lane; `finished` is what is told to the lane of an attempt that ends. */
function runLane (finished: (lane: SuspectLane, attempt: string) => LaneGrant[]): void {
  fc.assert(fc.property(fc.integer({ min: 1, max: 6 }), fc.array(laneStep, { maxLength: 80, size: 'max' }), (size, steps) => {
    const lane = new SuspectLane()
    const candidates = ENDPOINTS.slice(0, size)
    const running = new Map<string, string>()
    const suspects = new Set<string>()
    const waiting = new Set<string>()
    const grant = (grants: LaneGrant[]) => {
      for (const { attempt, endpoint } of grants) {
        check(waiting.delete(attempt), 'granted without a wait')
        check(size < 2 || ![...running.values()].includes(endpoint), 'a suspect is not alone')
        running.set(attempt, endpoint)
        lane.noteStarted(attempt, endpoint)
      }
    }
    const finish = (attempt: string) => {
      running.delete(attempt)
      waiting.delete(attempt)
      suspects.delete(attempt)
      grant(finished(lane, attempt))
    }
    steps.forEach(({ type, n }, i) => {
      const attempt = `t${i}`
      const open = candidates.filter(one => !lane.listReserved('p').includes(one))
      if (type === 'finish') return finish([...running.keys(), ...waiting][n % Math.max(1, running.size + waiting.size)] ?? 'none')
      if (type === 'normal' && open.length > 0) {
        const target = open[n % open.length]
        running.set(attempt, target)
        lane.noteStarted(attempt, target)
      }
      if (type !== 'suspect') return
      suspects.add(attempt)
      waiting.add(attempt)
      grant(lane.ask({ attempt, pool: 'p', candidates }) ?? [])
    })
    for (let left = running.size + waiting.size; left > 0; left = running.size + waiting.size) {
      check(running.size > 0, 'a suspect waits for ever')
      finish([...running.keys()][0])
    }
    check(lane.inFlight === 0 && lane.suspects === 0, 'the lane leaks')
  }), { seed: SEED, numRuns: RUNS })
}

test('suspects run alone, one at a time, and none waits for ever', t => {
  t.notThrows(() => runLane((lane, attempt) => lane.noteFinished(attempt)))
  t.throws(() => runLane(() => []))
})

const budgetStep = fc.record({ type: fc.constantFrom('take' as const, 'take' as const, 'success' as const), organisation: fc.constantFrom('a', 'b'), ms: fc.nat(500), times: fc.integer({ min: 1, max: 60 }) })

function runBudget (create: () => RetryBudget): void {
  const { reserve, share, max, refillMs } = DEFAULT_RETRY_BUDGET
  fc.assert(fc.property(fc.array(budgetStep, { maxLength: 60, size: 'max' }), steps => {
    const clock = install()
    try {
      const budget = create()
      const totals = { a: { granted: 0, successes: 0 }, b: { granted: 0, successes: 0 } }
      const startedAtMs = performance.now()
      for (const { type, organisation, ms, times } of steps) {
        clock.tick(ms)
        const total = totals[organisation as 'a' | 'b']
        const before = total.granted
        for (let i = 0; i < times; i++) {
          if (type === 'success') budget.noteSuccess(organisation, 'p')
          else if (budget.take(organisation, 'p')) total.granted++
        }
        if (type === 'success') total.successes += times
        const earned = reserve + share * total.successes + reserve * (performance.now() - startedAtMs) / refillMs
        check(total.granted <= earned + 1e-6 && total.granted - before <= max, `${total.granted} granted of ${earned}`)
      }
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS })
}

/** Never refuses. */
class GenerousBudget extends RetryBudget {
  override take (): boolean {
    return true
  }
}

test.serial('retries stay within reserve and share of successes', t => {
  t.notThrows(() => runBudget(() => new RetryBudget()))
  t.regex(String(t.throws(() => runBudget(() => new GenerousBudget()))?.cause), /granted of/)
})
