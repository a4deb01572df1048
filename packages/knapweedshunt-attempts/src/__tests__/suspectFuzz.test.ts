import test from 'ava'
import fc from 'fast-check'
import { install } from '@sinonjs/fake-timers'
import { DEFAULT_RETRY_BUDGET, RetryBudget } from '../retryBudget.ts'
import { SuspectIsolator } from '../suspectIsolator.ts'
import type { IsolationGrant } from '../suspectIsolator.ts'
import type { SuspectMark } from '../suspectMark.ts'
import { computeFingerprint, SuspectRegistry } from '../suspectRegistry.ts'

const SEED = 20_261_203
const RUNS = 2_000
const ROUTERS = 3
const ENDPOINTS = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6']
const POISON_REQUEST = computeFingerprint('a', 'poison')

function check (isTrue: boolean, message: string): void {
  if (!isTrue) throw new Error(message)
}

interface RunningRequest {
  router: number
  request: string
  endpoint: string
  startedAtMs: number
}

/** Routers that exchange marks and share endpoints that crash. Counts the crashes of each request. */
class SimulatedFleet {
  readonly routers = Array.from({ length: ROUTERS }, () => new SuspectRegistry())
  readonly #hasExchange: boolean
  readonly #crashCounts = new Map<string, number>()
  #running: RunningRequest[] = []
  poisonCrashCount = 0

  constructor (hasExchange: boolean) {
    this.#hasExchange = hasExchange
  }

  /** Starts a harmless request. A suspect one does not start while its router has other requests on the endpoint. */
  start (starting: RunningRequest): void {
    const state = this.routers[starting.router].check(starting.request)
    if (state.type === 'quarantined') return check((this.#crashCounts.get(starting.request) ?? 0) >= 2, 'a request was quarantined after fewer than two crashes')
    const isShared = this.#running.some(one => one.endpoint === starting.endpoint && one.router === starting.router)
    if (state.type === 'clear' || !isShared) this.#running.push(starting)
  }

  finish (n: number): void {
    const [finished] = this.#running.splice(n % Math.max(1, this.#running.length), 1)
    if (finished === undefined) return
    const wasSuspect = this.routers[finished.router].check(finished.request).type === 'suspect'
    const mark = this.routers[finished.router].recordSuccess(finished.request)
    check(!wasSuspect || this.routers[finished.router].check(finished.request).type === 'clear', 'a suspect request was not cleared by its success')
    if (mark !== null) this.#announce(finished.router, mark)
    if (wasSuspect) this.#crashCounts.delete(finished.request)
  }

  crash (endpoint: string): void {
    const affected = this.#running.filter(one => one.endpoint === endpoint)
    this.#running = this.#running.filter(one => one.endpoint !== endpoint)
    for (const request of new Set(affected.map(one => one.request))) this.#crashCounts.set(request, (this.#crashCounts.get(request) ?? 0) + 1)
    const marks = affected.map(one => ({ router: one.router, mark: this.routers[one.router].recordCrash(one.request, endpoint, one.startedAtMs) }))
    for (const { router, mark } of marks) this.#announce(router, mark)
  }

  /** Sends the request that crashes every endpoint; its caller repeats it after each failure. */
  sendPoisonRequest (router: number, endpoint: string): void {
    if (this.routers[router].check(POISON_REQUEST).type === 'quarantined') return
    this.#running.push({ router, request: POISON_REQUEST, endpoint, startedAtMs: performance.now() })
    this.crash(endpoint)
    this.poisonCrashCount++
    check(this.poisonCrashCount <= 2, `${this.poisonCrashCount} endpoints crashed`)
  }

  #announce (from: number, mark: SuspectMark): void {
    if (!this.#hasExchange) return
    this.routers.forEach((registry, i) => { if (i !== from) registry.applyMark(JSON.parse(JSON.stringify(mark))) })
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

function runFleet (hasExchange: boolean): void {
  fc.assert(fc.property(fc.array(fc.tuple(fleetStep, fc.integer({ min: 1, max: 5_000 })), { maxLength: 80, size: 'max' }), steps => {
    const clock = install()
    try {
      const fleet = new SimulatedFleet(hasExchange)
      for (const [step, ms] of steps) {
        clock.tick(ms)
        switch (step.type) {
          case 'start': fleet.start({ ...step, startedAtMs: performance.now() }); break
          case 'finish': fleet.finish(step.n); break
          case 'crash': fleet.crash(step.endpoint); break
          case 'poison': fleet.sendPoisonRequest(step.router, step.endpoint); break
          case 'join': restartRouter(fleet, step.router)
        }
      }
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS })
}

/** Restarts a router with an empty registry, which then receives the marks of all others. */
function restartRouter (fleet: SimulatedFleet, restarted: number): void {
  const marks = fleet.routers.flatMap((registry, i) => i === restarted ? [] : registry.listMarks())
  fleet.routers[restarted] = new SuspectRegistry()
  for (const mark of marks) fleet.routers[restarted].applyMark(mark)
}

test.serial('a request that crashes endpoints crashes at most two, whichever router receives it again', t => {
  t.notThrows(() => runFleet(true))
  t.regex(String(t.throws(() => runFleet(false))?.cause), /3 endpoints crashed/)
})

const isolatorStep = fc.record({ type: fc.constantFrom('normal' as const, 'suspect' as const, 'suspect' as const, 'finish' as const, 'finish' as const), n: fc.nat(30) })

/** Simulates the attempts of one router. `finishAttempt` reports the end of an attempt to the isolator. */
function runIsolator (finishAttempt: (isolator: SuspectIsolator, attempt: string) => IsolationGrant[]): void {
  fc.assert(fc.property(fc.integer({ min: 1, max: 6 }), fc.array(isolatorStep, { maxLength: 80, size: 'max' }), (size, steps) => {
    const isolator = new SuspectIsolator()
    const candidates = ENDPOINTS.slice(0, size)
    const running = new Map<string, string>()
    const suspectAttempts = new Set<string>()
    const waiting = new Set<string>()
    const grant = (grants: IsolationGrant[]) => {
      for (const { attempt, endpoint } of grants) {
        check(waiting.delete(attempt), 'an attempt that was not waiting was granted an endpoint')
        check(size < 2 || ![...running.values()].includes(endpoint), 'a suspect attempt shares its endpoint')
        running.set(attempt, endpoint)
        isolator.recordStart(attempt, endpoint)
      }
    }
    const finish = (attempt: string) => {
      running.delete(attempt)
      waiting.delete(attempt)
      suspectAttempts.delete(attempt)
      grant(finishAttempt(isolator, attempt))
    }
    steps.forEach(({ type, n }, i) => {
      const attempt = `t${i}`
      const open = candidates.filter(one => !isolator.listReserved('p').includes(one))
      if (type === 'finish') return finish([...running.keys(), ...waiting][n % Math.max(1, running.size + waiting.size)] ?? 'none')
      if (type === 'normal' && open.length > 0) {
        const target = open[n % open.length]
        running.set(attempt, target)
        isolator.recordStart(attempt, target)
      }
      if (type !== 'suspect') return
      suspectAttempts.add(attempt)
      waiting.add(attempt)
      grant(isolator.requestEndpoint({ attempt, pool: 'p', candidates }) ?? [])
    })
    for (let remaining = running.size + waiting.size; remaining > 0; remaining = running.size + waiting.size) {
      check(running.size > 0, 'a suspect attempt waits although nothing runs')
      finish([...running.keys()][0])
    }
    check(isolator.inFlight === 0 && isolator.suspects === 0, 'the isolator still holds ended attempts')
  }), { seed: SEED, numRuns: RUNS })
}

test('suspect attempts run alone on their endpoint, and each one is granted an endpoint eventually', t => {
  t.notThrows(() => runIsolator((isolator, attempt) => isolator.handleFinish(attempt)))
  t.throws(() => runIsolator(() => []))
})

const budgetStep = fc.record({ type: fc.constantFrom('take' as const, 'take' as const, 'success' as const), organisation: fc.constantFrom('a', 'b'), ms: fc.nat(500), times: fc.integer({ min: 1, max: 60 }) })

function runBudget (create: () => RetryBudget): void {
  const { reserve, permitsPerSuccess: share, maxPermits: max, refillMs } = DEFAULT_RETRY_BUDGET
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
          if (type === 'success') budget.recordSuccess(organisation, 'p')
          else if (budget.tryTake(organisation, 'p')) total.granted++
        }
        if (type === 'success') total.successes += times
        const earned = reserve + share * total.successes + reserve * (performance.now() - startedAtMs) / refillMs
        check(total.granted <= earned + 1e-6 && total.granted - before <= max, `${total.granted} permits granted, ${earned} earned`)
      }
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS })
}

/** Grants every permit. */
class UnlimitedBudget extends RetryBudget {
  override tryTake (): boolean {
    return true
  }
}

test.serial('retries stay within the reserve and the permits earned by successes', t => {
  t.notThrows(() => runBudget(() => new RetryBudget()))
  t.regex(String(t.throws(() => runBudget(() => new UnlimitedBudget()))?.cause), /permits granted/)
})
