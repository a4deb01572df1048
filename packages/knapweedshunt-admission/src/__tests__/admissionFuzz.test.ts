import test from 'ava'
import fc from 'fast-check'
import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import { Admission } from '../admission.ts'
import { DEFAULT_ADMISSION_OPTIONS } from '../admissionOptions.ts'
import type { AdmissionAction, AdmissionEvent, AdmissionRequest } from '../admissionTypes.ts'
import { FairQueue } from '../fairQueue.ts'
import type { WaitingRequest } from '../waitingRequest.ts'

const SEED = 20_261_203
const RUNS = 400
const POOL = 'language'
const RANKS: Record<string, number> = { interactive: 0, batch: 2 }
const AGEING_MS = 500
const CONCURRENT = 3
const OPTIONS = { ...DEFAULT_ADMISSION_OPTIONS, maxQueue: 12, window: { ...DEFAULT_ADMISSION_OPTIONS.window, min: 1, initial: 2, max: 5 } }

/** Oracle: plain lists of what waits and runs. */
class Oracle {
  readonly waiting = new Map<string, AdmissionRequest & { offeredAtMs: number }>()
  readonly running = new Map<string, AdmissionRequest>()
  readonly attempts = new Set<string>()
  endpoints = 0
  offered = 0
  opened = 0
  sinceBest = 0
}

interface World {
  admission: Admission
  clock: Clock
}

function check (isTrue: boolean, what: string): void {
  if (!isTrue) throw new Error(what)
}

function take (oracle: Oracle, { admission }: World, event: AdmissionEvent): void {
  for (const action of admission.take(event)) note(oracle, action)
  checkAll(oracle, admission)
}

function note (oracle: Oracle, action: AdmissionAction): void {
  const request = oracle.waiting.get(action.requestId)
  check(request !== undefined, `${action.type} of ${action.requestId} that does not wait`)
  oracle.waiting.delete(action.requestId)
  if (action.type === 'refuse') return check(action.retryAfterMs > 0 && action.retryAfterMs <= 2 * OPTIONS.maxRetryAfterMs, 'Retry-After out of bounds')
  check(request!.deadlineAtMs > performance.now(), 'started after its deadline')
  checkOrder(oracle, request!)
  oracle.running.set(action.requestId, request!)
}

/** A worse class goes first only when its oldest request has aged, and then once in `agedEvery`. */
function checkOrder (oracle: Oracle, request: Oracle['waiting'] extends Map<string, infer R> ? R : never): void {
  const rivals = [...oracle.waiting.values()].filter(one => RANKS[one.priorityClass] < RANKS[request.priorityClass])
  if (rivals.length === 0) {
    oracle.sinceBest++
    return
  }
  const peers = [...oracle.waiting.values(), request].filter(one => one.priorityClass === request.priorityClass)
  const oldestMs = performance.now() - Math.min(...peers.map(one => one.offeredAtMs))
  check(oldestMs > AGEING_MS * (RANKS[request.priorityClass] - Math.min(...rivals.map(one => RANKS[one.priorityClass]))), 'a fresh request overtook a better class')
  check(oracle.sinceBest >= OPTIONS.agedEvery - 1, 'aged requests overtook too often')
  oracle.sinceBest = 0
}

function checkAll (oracle: Oracle, admission: Admission): void {
  const counts = admission.countRequests()
  check(counts.running === oracle.running.size, `${counts.running} running, not ${oracle.running.size}`)
  check(counts.waiting === oracle.waiting.size, `${counts.waiting} waiting, not ${oracle.waiting.size}`)
  check(counts.attempts === oracle.attempts.size, `${counts.attempts} attempts, not ${oracle.attempts.size}`)
  const capacity = admission.countCapacity(POOL)
  const { min, max } = OPTIONS.window
  check(capacity >= oracle.endpoints * min && capacity <= oracle.endpoints * max && Number.isInteger(capacity), `capacity ${capacity}`)
  check(oracle.waiting.size === 0 || (capacity > 0 && oracle.running.size >= capacity), 'a request waits beside a free place')
  check(oracle.waiting.size <= OPTIONS.maxQueue, 'queue too long')
  for (const name of ['a', 'b', 'c']) {
    check([...oracle.waiting.values()].filter(one => one.organisation === name).length <= OPTIONS.maxQueue / 2, `${name} fills the queue`)
  }
  const limited = [...oracle.waiting.values(), ...oracle.running.values()].filter(one => one.organisation === 'c')
  check(limited.length <= CONCURRENT, 'limit exceeded')
}

type Step = (oracle: Oracle, world: World) => void

function command (name: string, step: Step): fc.Command<Oracle, World> {
  return { check: () => true, run: step, toString: () => name }
}

const nth = (values: Iterable<string>, n: number): string | undefined => {
  const all = [...values]
  return all[n % Math.max(1, all.length)]
}

const offer = fc.record({ organisation: fc.constantFrom('a', 'b', 'c'), priorityClass: fc.constantFrom('interactive', 'batch'), timeoutMs: fc.integer({ min: 1, max: 5_000 }), tokens: fc.integer({ min: 0, max: 5_000 }) })
  .map(shape => command(`offer ${JSON.stringify(shape)}`, (oracle, world) => {
    const { timeoutMs, ...rest } = shape
    const request = { ...rest, requestId: `r${oracle.offered++}`, pool: POOL, deadlineAtMs: performance.now() + timeoutMs }
    oracle.waiting.set(request.requestId, { ...request, offeredAtMs: performance.now() })
    take(oracle, world, { type: 'offered', request })
  }))
const release = fc.nat(20).map(n => command(`release ${n}`, (oracle, world) => {
  const requestId = nth(oracle.running.keys(), n) ?? 'unknown'
  oracle.running.delete(requestId)
  take(oracle, world, { type: 'released', requestId })
}))
const leave = fc.nat(20).map(n => command(`leave ${n}`, (oracle, world) => {
  const requestId = nth(oracle.waiting.keys(), n) ?? 'unknown'
  oracle.waiting.delete(requestId)
  take(oracle, world, { type: 'left', requestId })
}))
const advance = fc.integer({ min: 1, max: 1_500 }).map(ms => command(`advance ${ms}`, (oracle, world) => {
  world.clock.tick(ms)
  take(oracle, world, { type: 'tick' })
  check([...oracle.waiting.values()].every(one => one.deadlineAtMs > performance.now()), 'a request waits past its deadline')
}))
const endpoints = fc.array(fc.constantFrom('', 'x', 'y'), { maxLength: 3 }).map(incarnations => command(`endpoints ${incarnations}`, (oracle, world) => {
  oracle.endpoints = incarnations.length
  take(oracle, world, { type: 'endpoints', pool: POOL, endpoints: incarnations.map((incarnation, i) => ({ endpoint: `e${i}`, incarnation })) })
}))
const start = fc.nat(2).map(n => command(`start on e${n}`, (oracle, world) => {
  if (n >= oracle.endpoints) return
  const attempt = `t${oracle.opened++}`
  oracle.attempts.add(attempt)
  take(oracle, world, { type: 'attemptStarted', attempt, endpoint: `e${n}` })
}))
const finish = fc.tuple(fc.nat(20), fc.boolean()).map(([n, twice]) => command(`finish ${n}`, (oracle, world) => {
  const attempt = nth(oracle.attempts, n) ?? 'unknown'
  oracle.attempts.delete(attempt)
  for (let i = 0; i < (twice ? 2 : 1); i++) take(oracle, world, { type: 'attemptFinished', attempt })
}))
const delay = fc.record({ n: fc.nat(2), firstTokenMs: fc.constantFrom(1, 100, 10_000), count: fc.integer({ min: 1, max: 20 }) })
  .map(({ n, firstTokenMs, count }) => command(`${count} delays of ${firstTokenMs}`, (oracle, world) => {
    for (let i = 0; i < count; i++) take(oracle, world, { type: 'delay', endpoint: `e${n}`, firstTokenMs, tokens: 10 })
  }))
const overloaded = fc.nat(2).map(n => command('overloaded', (oracle, world) => take(oracle, world, { type: 'overloaded', endpoint: `e${n}` })))
const demand = fc.record({ vm: fc.constantFrom('vm-2', 'vm-3'), concurrent: fc.nat(9), count: fc.integer({ min: 1, max: 3 }) })
  .map(({ vm, concurrent, count }) => command(`demand of ${vm}`, (oracle, world) => {
    take(oracle, world, { type: 'vms', count, silentMs: 1_000 })
    take(oracle, world, { type: 'demand', vm, demands: [{ organisation: 'c', requestsPerSecond: 1, concurrent }] })
  }))

function runCommands (create: () => Admission): void {
  const steps = fc.commands([offer, offer, offer, offer, release, release, leave, advance, endpoints, start, finish, delay, overloaded, demand], { maxCommands: 120, size: 'max' })
  fc.assert(fc.property(steps, all => {
    const clock = install()
    try {
      const world = { admission: create(), clock }
      const rule = { weight: 1, requestsPerSecond: null, concurrent: null }
      world.admission.take({ type: 'classes', classes: Object.entries(RANKS).map(([name, rank]) => ({ name, rank, ageingMs: AGEING_MS })) })
      world.admission.take({ type: 'rules', rules: [{ ...rule, organisation: 'a' }, { ...rule, organisation: 'b', weight: 3 }, { ...rule, organisation: 'c', concurrent: CONCURRENT }] })
      fc.modelRun(() => ({ model: new Oracle(), real: world }), all)
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS })
}

test.serial('admission agrees with its oracle', t => {
  t.notThrows(() => runCommands(() => new Admission(OPTIONS)))
})

/** Forgets to free the place of a caller that left. */
class LeakingAdmission extends Admission {
  override take (event: AdmissionEvent): AdmissionAction[] {
    return event.type === 'left' ? [] : super.take(event)
  }
}

test.serial('the fuzz catches a leak', t => {
  t.regex(String(t.throws(() => runCommands(() => new LeakingAdmission(OPTIONS)))?.cause), /waiting, not/)
})

interface Queue {
  add (waiting: WaitingRequest): void
  take (): WaitingRequest | undefined
}

const WEIGHTS: Record<string, number> = { a: 1, b: 2, c: 5 }
const MAX_TOKENS = 100

/** Service of any two organisations that wait all the time differs, by weight, by no more than one largest request of each. */
function checkFairness (create: () => Queue): void {
  const requests = fc.array(fc.record({ organisation: fc.constantFrom('a', 'b', 'c'), tokens: fc.integer({ min: 1, max: MAX_TOKENS }) }), { minLength: 10, maxLength: 200 })
  fc.assert(fc.property(requests, fc.nat(50), (all, late) => {
    const queue = create()
    const served: Record<string, number> = { a: 0, b: 0, c: 0 }
    const left: Record<string, number> = { a: 0, b: 0, c: 0 }
    const add = (one: typeof all[number], i: number) => {
      left[one.organisation]++
      queue.add({ request: { ...one, requestId: `r${i}`, pool: POOL, priorityClass: 'x', deadlineAtMs: 0 }, weight: WEIGHTS[one.organisation], offeredAtMs: 0 })
    }
    const first = Math.max(1, all.length - late)
    all.slice(0, first).forEach(add)
    for (let i = first, next = queue.take(); next !== undefined; next = queue.take()) {
      const { organisation, tokens } = next.request
      served[organisation] += tokens / WEIGHTS[organisation]
      left[organisation]--
      if (i < all.length) add(all[i], i++)
      const busy = Object.keys(left).filter(name => left[name] > 0)
      for (const name of Object.keys(left)) if (!busy.includes(name)) served[name] = Math.max(served[name], Math.min(...busy.map(one => served[one])))
      for (const x of busy) {
        for (const y of busy) check(served[x] - served[y] <= MAX_TOKENS / WEIGHTS[x] + MAX_TOKENS / WEIGHTS[y], `${x} got ${served[x]}, ${y} ${served[y]}`)
      }
    }
    check(Object.values(left).every(count => count === 0), 'a request was lost')
  }), { seed: SEED, numRuns: RUNS })
}

/** Serves in order of arrival, whoever asks. */
class FifoQueue implements Queue {
  readonly #waiting: WaitingRequest[] = []
  add (waiting: WaitingRequest): void {
    this.#waiting.push(waiting)
  }

  take (): WaitingRequest | undefined {
    return this.#waiting.shift()
  }
}

test('organisations share by weight within the bound', t => {
  t.notThrows(() => checkFairness(() => new FairQueue()))
  t.regex(String(t.throws(() => checkFairness(() => new FifoQueue()))?.cause), /got/)
})
