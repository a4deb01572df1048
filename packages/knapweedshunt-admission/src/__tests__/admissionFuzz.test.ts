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
const MAX_CONCURRENT = 3
const OPTIONS = { ...DEFAULT_ADMISSION_OPTIONS, maxQueuedRequests: 12, window: { ...DEFAULT_ADMISSION_OPTIONS.window, min: 1, initial: 2, max: 5 } }

/** Reference model: plain lists of waiting requests, running requests and attempts. */
class Oracle {
  readonly waiting = new Map<string, AdmissionRequest & { offeredAtMs: number }>()
  readonly running = new Map<string, AdmissionRequest>()
  readonly attempts = new Set<string>()
  endpointCount = 0
  offeredCount = 0
  attemptCount = 0
  startsSinceAged = 0
}

interface TestContext {
  admission: Admission
  clock: Clock
}

function check (isTrue: boolean, message: string): void {
  if (!isTrue) throw new Error(message)
}

function handleEvent (oracle: Oracle, { admission }: TestContext, event: AdmissionEvent): void {
  for (const action of admission.handleEvent(event)) applyAction(oracle, action)
  checkInvariants(oracle, admission)
}

function applyAction (oracle: Oracle, action: AdmissionAction): void {
  const request = oracle.waiting.get(action.requestId)
  check(request !== undefined, `${action.type} of ${action.requestId}, which is not waiting`)
  oracle.waiting.delete(action.requestId)
  if (action.type === 'refuse') return check(action.retryAfterMs > 0 && action.retryAfterMs <= 2 * OPTIONS.maxRetryAfterMs, 'retry delay out of bounds')
  check(request!.deadlineAtMs > performance.now(), 'request started after its deadline')
  checkOrder(oracle, request!)
  oracle.running.set(action.requestId, request!)
}

/** A request may start before one of a better class only when the oldest request of its class has aged, and only once in `agedStartInterval` starts. */
function checkOrder (oracle: Oracle, request: Oracle['waiting'] extends Map<string, infer R> ? R : never): void {
  const betterWaiting = [...oracle.waiting.values()].filter(one => RANKS[one.priorityClass] < RANKS[request.priorityClass])
  if (betterWaiting.length === 0) {
    oracle.startsSinceAged++
    return
  }
  const sameClass = [...oracle.waiting.values(), request].filter(one => one.priorityClass === request.priorityClass)
  const longestWaitMs = performance.now() - Math.min(...sameClass.map(one => one.offeredAtMs))
  check(longestWaitMs > AGEING_MS * (RANKS[request.priorityClass] - Math.min(...betterWaiting.map(one => RANKS[one.priorityClass]))), 'a request that has not aged was started before a better class')
  check(oracle.startsSinceAged >= OPTIONS.agedStartInterval - 1, 'aged requests were started before a better class too often')
  oracle.startsSinceAged = 0
}

function checkInvariants (oracle: Oracle, admission: Admission): void {
  const counts = admission.countRequests()
  check(counts.running === oracle.running.size, `${counts.running} running, expected ${oracle.running.size}`)
  check(counts.waiting === oracle.waiting.size, `${counts.waiting} waiting, expected ${oracle.waiting.size}`)
  check(counts.attempts === oracle.attempts.size, `${counts.attempts} attempts, expected ${oracle.attempts.size}`)
  const capacity = admission.getCapacity(POOL)
  const { min, max } = OPTIONS.window
  check(capacity >= oracle.endpointCount * min && capacity <= oracle.endpointCount * max && Number.isInteger(capacity), `capacity ${capacity} out of bounds`)
  check(oracle.waiting.size === 0 || (capacity > 0 && oracle.running.size >= capacity), 'a request waits although capacity is free')
  check(oracle.waiting.size <= OPTIONS.maxQueuedRequests, 'queue limit exceeded')
  for (const name of ['a', 'b', 'c']) {
    check([...oracle.waiting.values()].filter(one => one.organisation === name).length <= OPTIONS.maxQueuedRequests / 2, `organisation ${name} has more than half of the queue`)
  }
  const limited = [...oracle.waiting.values(), ...oracle.running.values()].filter(one => one.organisation === 'c')
  check(limited.length <= MAX_CONCURRENT, 'concurrency limit exceeded')
}

type Step = (oracle: Oracle, context: TestContext) => void

function command (name: string, step: Step): fc.Command<Oracle, TestContext> {
  return { check: () => true, run: step, toString: () => name }
}

const pickNth = (values: Iterable<string>, n: number): string | undefined => {
  const list = [...values]
  return list[n % Math.max(1, list.length)]
}

const offer = fc.record({ organisation: fc.constantFrom('a', 'b', 'c'), priorityClass: fc.constantFrom('interactive', 'batch'), timeoutMs: fc.integer({ min: 1, max: 5_000 }), tokens: fc.integer({ min: 0, max: 5_000 }) })
  .map(shape => command(`offer ${JSON.stringify(shape)}`, (oracle, context) => {
    const { timeoutMs, ...rest } = shape
    const request = { ...rest, requestId: `r${oracle.offeredCount++}`, pool: POOL, deadlineAtMs: performance.now() + timeoutMs }
    oracle.waiting.set(request.requestId, { ...request, offeredAtMs: performance.now() })
    handleEvent(oracle, context, { type: 'offered', request })
  }))
const release = fc.nat(20).map(n => command(`release ${n}`, (oracle, context) => {
  const requestId = pickNth(oracle.running.keys(), n) ?? 'unknown'
  oracle.running.delete(requestId)
  handleEvent(oracle, context, { type: 'released', requestId })
}))
const leave = fc.nat(20).map(n => command(`leave ${n}`, (oracle, context) => {
  const requestId = pickNth(oracle.waiting.keys(), n) ?? 'unknown'
  oracle.waiting.delete(requestId)
  handleEvent(oracle, context, { type: 'left', requestId })
}))
const advance = fc.integer({ min: 1, max: 1_500 }).map(ms => command(`advance ${ms}`, (oracle, context) => {
  context.clock.tick(ms)
  handleEvent(oracle, context, { type: 'tick' })
  check([...oracle.waiting.values()].every(one => one.deadlineAtMs > performance.now()), 'a request still waits after its deadline')
}))
const endpoints = fc.array(fc.constantFrom('', 'x', 'y'), { maxLength: 3 }).map(incarnations => command(`endpoints ${incarnations}`, (oracle, context) => {
  oracle.endpointCount = incarnations.length
  handleEvent(oracle, context, { type: 'endpoints', pool: POOL, endpoints: incarnations.map((incarnation, i) => ({ endpoint: `e${i}`, incarnation })) })
}))
const start = fc.nat(2).map(n => command(`start on e${n}`, (oracle, context) => {
  if (n >= oracle.endpointCount) return
  const attempt = `t${oracle.attemptCount++}`
  oracle.attempts.add(attempt)
  handleEvent(oracle, context, { type: 'attemptStarted', attempt, endpoint: `e${n}` })
}))
const finish = fc.tuple(fc.nat(20), fc.boolean()).map(([n, twice]) => command(`finish ${n}`, (oracle, context) => {
  const attempt = pickNth(oracle.attempts, n) ?? 'unknown'
  oracle.attempts.delete(attempt)
  for (let i = 0; i < (twice ? 2 : 1); i++) handleEvent(oracle, context, { type: 'attemptFinished', attempt })
}))
const delay = fc.record({ n: fc.nat(2), firstTokenMs: fc.constantFrom(1, 100, 10_000), count: fc.integer({ min: 1, max: 20 }) })
  .map(({ n, firstTokenMs, count }) => command(`${count} delays of ${firstTokenMs}`, (oracle, context) => {
    for (let i = 0; i < count; i++) handleEvent(oracle, context, { type: 'delay', endpoint: `e${n}`, firstTokenMs, tokens: 10 })
  }))
const overloaded = fc.nat(2).map(n => command('overloaded', (oracle, context) => handleEvent(oracle, context, { type: 'overloaded', endpoint: `e${n}` })))
const demand = fc.record({ vm: fc.constantFrom('vm-2', 'vm-3'), concurrent: fc.nat(9), count: fc.integer({ min: 1, max: 3 }) })
  .map(({ vm, concurrent, count }) => command(`demand of ${vm}`, (oracle, context) => {
    handleEvent(oracle, context, { type: 'vms', count, peerTimeoutMs: 1_000 })
    handleEvent(oracle, context, { type: 'demand', vm, demands: [{ organisation: 'c', requestsPerSecond: 1, concurrent }] })
  }))

function runCommands (create: () => Admission): void {
  const steps = fc.commands([offer, offer, offer, offer, release, release, leave, advance, endpoints, start, finish, delay, overloaded, demand], { maxCommands: 120, size: 'max' })
  fc.assert(fc.property(steps, commands => {
    const clock = install()
    try {
      const context = { admission: create(), clock }
      const rule = { weight: 1, requestsPerSecond: null, concurrent: null }
      context.admission.handleEvent({ type: 'classes', classes: Object.entries(RANKS).map(([name, rank]) => ({ name, rank, ageingMs: AGEING_MS })) })
      context.admission.handleEvent({ type: 'rules', rules: [{ ...rule, organisation: 'a' }, { ...rule, organisation: 'b', weight: 3 }, { ...rule, organisation: 'c', concurrent: MAX_CONCURRENT }] })
      fc.modelRun(() => ({ model: new Oracle(), real: context }), commands)
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS })
}

test.serial('admission agrees with the reference model', t => {
  t.notThrows(() => runCommands(() => new Admission(OPTIONS)))
})

/** Ignores callers that disconnect, so their requests stay queued. */
class LeakingAdmission extends Admission {
  override handleEvent (event: AdmissionEvent): AdmissionAction[] {
    return event.type === 'left' ? [] : super.handleEvent(event)
  }
}

test.serial('the model check detects waiting requests that are not removed', t => {
  t.regex(String(t.throws(() => runCommands(() => new LeakingAdmission(OPTIONS)))?.cause), /waiting, expected/)
})

interface RequestQueue {
  enqueue (waiting: WaitingRequest): void
  dequeue (): WaitingRequest | undefined
}

const WEIGHTS: Record<string, number> = { a: 1, b: 2, c: 5 }
const MAX_TOKENS = 100

/** The weighted service of any two organisations that both always have waiting requests differs by at most the largest request of each. */
function checkFairness (create: () => RequestQueue): void {
  const requests = fc.array(fc.record({ organisation: fc.constantFrom('a', 'b', 'c'), tokens: fc.integer({ min: 1, max: MAX_TOKENS }) }), { minLength: 10, maxLength: 200 })
  fc.assert(fc.property(requests, fc.nat(50), (requestList, lateCount) => {
    const queue = create()
    const served: Record<string, number> = { a: 0, b: 0, c: 0 }
    const waitingCounts: Record<string, number> = { a: 0, b: 0, c: 0 }
    const add = (one: typeof requestList[number], i: number) => {
      waitingCounts[one.organisation]++
      queue.enqueue({ request: { ...one, requestId: `r${i}`, pool: POOL, priorityClass: 'x', deadlineAtMs: 0 }, weight: WEIGHTS[one.organisation], offeredAtMs: 0 })
    }
    const first = Math.max(1, requestList.length - lateCount)
    requestList.slice(0, first).forEach(add)
    for (let i = first, next = queue.dequeue(); next !== undefined; next = queue.dequeue()) {
      const { organisation, tokens } = next.request
      served[organisation] += tokens / WEIGHTS[organisation]
      waitingCounts[organisation]--
      if (i < requestList.length) add(requestList[i], i++)
      const busy = Object.keys(waitingCounts).filter(name => waitingCounts[name] > 0)
      for (const name of Object.keys(waitingCounts)) if (!busy.includes(name)) served[name] = Math.max(served[name], Math.min(...busy.map(one => served[one])))
      for (const x of busy) {
        for (const y of busy) check(served[x] - served[y] <= MAX_TOKENS / WEIGHTS[x] + MAX_TOKENS / WEIGHTS[y], `unfair: ${x} was served ${served[x]}, ${y} ${served[y]}`)
      }
    }
    check(Object.values(waitingCounts).every(count => count === 0), 'a request was lost')
  }), { seed: SEED, numRuns: RUNS })
}

/** Serves in order of arrival, regardless of organisation and weight. */
class FifoQueue implements RequestQueue {
  readonly #waiting: WaitingRequest[] = []
  enqueue (waiting: WaitingRequest): void {
    this.#waiting.push(waiting)
  }

  dequeue (): WaitingRequest | undefined {
    return this.#waiting.shift()
  }
}

test('organisations are served by weight within the fairness bound', t => {
  t.notThrows(() => checkFairness(() => new FairQueue()))
  t.regex(String(t.throws(() => checkFairness(() => new FifoQueue()))?.cause), /was served/)
})
