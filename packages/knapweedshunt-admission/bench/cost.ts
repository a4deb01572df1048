/** Measures the cost of admission decisions by queue length and number of organisations, and of the attempt state machine, retry budget and suspect registry. */
import fs from 'node:fs'
import { Admission, DEFAULT_ADMISSION_OPTIONS } from 'knapweedshunt-admission'
import type { AdmissionRequest } from 'knapweedshunt-admission'
import { AttemptStateMachine, DEFAULT_ATTEMPT_OPTIONS, computeFingerprint, RetryBudget, SuspectRegistry } from '../../knapweedshunt-attempts/src/index.ts'

const ORGANISATIONS = [8, 40, 200, 1_000, 2_500]
const QUEUE_LENGTHS = [16, 128, 1_024, 8_192]
const CAPACITY = 256
const ROUNDS = 20_000
const REPEATS = 5
const MACHINES = 20_000
const TOKENS = 200
const POOL = 'language'
const US_PER_MS = 1_000
const FIGURES_PATH = 'docs/figures/admissionCost.json'

interface AdmissionRow {
  organisations: number
  queue: number
  /** Time for one offer, start and release, in microseconds. */
  microseconds: number
  /** Heap bytes per waiting request. */
  bytes: number
}

let requestCount = 0

function buildRequest (organisations: number): AdmissionRequest {
  const n = requestCount++
  return { requestId: `r${n}`, organisation: `o${n % organisations}`, pool: POOL, priorityClass: n % 3 === 0 ? 'batch' : 'interactive', deadlineAtMs: performance.now() + 600_000, tokens: 1_000 + n % 500 }
}

function buildAdmission (organisations: number, queue: number): Admission {
  const admission = new Admission({ ...DEFAULT_ADMISSION_OPTIONS, maxQueuedRequests: 4 * queue, window: { ...DEFAULT_ADMISSION_OPTIONS.window, initial: CAPACITY, max: CAPACITY } })
  admission.handleEvent({ type: 'classes', classes: [{ name: 'interactive', rank: 0, ageingMs: 1_000 }, { name: 'batch', rank: 1, ageingMs: 1_000 }] })
  admission.handleEvent({ type: 'rules', rules: Array.from({ length: organisations }, (_, i) => ({ organisation: `o${i}`, weight: 1 + i % 3, requestsPerSecond: 1e9, concurrent: 1e9 })) })
  admission.handleEvent({ type: 'endpoints', pool: POOL, endpoints: [{ endpoint: 'e1', incarnation: 'i' }] })
  return admission
}

function measureHeapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

/** Keeps the queue length constant: each round offers one request and releases a running one, so that a waiting one starts. */
function measureAdmission (organisations: number, queue: number): AdmissionRow {
  const admission = buildAdmission(organisations, queue)
  const running: string[] = []
  const handleEvent = (event: Parameters<Admission['handleEvent']>[0]) => {
    for (const action of admission.handleEvent(event)) if (action.type === 'admit') running.push(action.requestId)
  }
  for (let i = 0; i < CAPACITY; i++) handleEvent({ type: 'offered', request: buildRequest(organisations) })
  const heapBytesBefore = measureHeapBytes()
  for (let i = 0; i < queue; i++) handleEvent({ type: 'offered', request: buildRequest(organisations) })
  const bytes = (measureHeapBytes() - heapBytesBefore) / queue
  let bestUs = Infinity
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const startedAtMs = performance.now()
    for (let i = 0; i < ROUNDS; i++) {
      handleEvent({ type: 'offered', request: buildRequest(organisations) })
      handleEvent({ type: 'released', requestId: running[i] })
    }
    bestUs = Math.min(bestUs, (performance.now() - startedAtMs) * US_PER_MS / ROUNDS)
    running.splice(0, ROUNDS)
  }
  if (admission.countRequests().waiting !== queue) throw new Error(`queue length changed during the run: ${admission.countRequests().waiting} waiting, expected ${queue}`)
  return { organisations, queue, microseconds: bestUs, bytes }
}

/** Runs one request through start, placement, response head, tokens, usage and end. */
function runMachine (machine: AttemptStateMachine, attempt: string): void {
  machine.start()
  machine.handleEvent({ type: 'placed', attempt, endpoint: 'e1', incarnation: 'i' })
  machine.handleEvent({ type: 'head', attempt, status: 200, incarnation: 'i', weightsVersion: 'w1', softwareVersion: '' })
  for (let n = 0; n < TOKENS; n++) machine.handleEvent({ type: 'token', attempt, n, text: 'word ' })
  machine.handleEvent({ type: 'usage', attempt, usage: { promptTokens: 1_000, completionTokens: TOKENS, cachedTokens: 900 } })
  machine.handleEvent({ type: 'end', attempt })
}

function measureMachines (): { microseconds: number, microsecondsPerToken: number, bytes: number } {
  const budget = new RetryBudget()
  const buildMachine = (i: number) => new AttemptStateMachine({ ...DEFAULT_ATTEMPT_OPTIONS, requestId: `r${i}`, repeatable: true, resumeFrom: 0, deadlineAtMs: 1e12 }, () => budget.tryTake('o1', POOL))
  const heapBytesBefore = measureHeapBytes()
  const machines = Array.from({ length: MACHINES }, (_, i) => buildMachine(i))
  for (const [i, machine] of machines.entries()) {
    machine.start()
    machine.handleEvent({ type: 'placed', attempt: `r${i}-1`, endpoint: 'e1', incarnation: 'i' })
  }
  const bytes = (measureHeapBytes() - heapBytesBefore) / MACHINES
  machines.length = 0
  let bestUs = Infinity
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const startedAtMs = performance.now()
    for (let i = 0; i < MACHINES / 10; i++) runMachine(buildMachine(i), `r${i}-1`)
    bestUs = Math.min(bestUs, (performance.now() - startedAtMs) * US_PER_MS / (MACHINES / 10))
  }
  return { microseconds: bestUs, microsecondsPerToken: bestUs / TOKENS, bytes }
}

/** Measures retry budgets and the suspect registry: one permit and one success, and one check, per organisation. */
function measureShared (organisations: number): { organisations: number, budgetMicroseconds: number, suspectMicroseconds: number } {
  const budget = new RetryBudget()
  const registry = new SuspectRegistry()
  for (let i = 0; i < organisations; i++) registry.recordCrash(computeFingerprint(`o${i}`, 'd'), 'e1', performance.now())
  const fingerprints = Array.from({ length: organisations }, (_, i) => computeFingerprint(`o${i}`, 'd'))
  const measureBestUs = (step: (i: number) => void) => {
    let bestUs = Infinity
    for (let repeat = 0; repeat < REPEATS; repeat++) {
      const startedAtMs = performance.now()
      for (let i = 0; i < ROUNDS; i++) step(i % organisations)
      bestUs = Math.min(bestUs, (performance.now() - startedAtMs) * US_PER_MS / ROUNDS)
    }
    return bestUs
  }
  return {
    organisations,
    budgetMicroseconds: measureBestUs(i => { budget.tryTake(`o${i}`, POOL); budget.recordSuccess(`o${i}`, POOL) }),
    suspectMicroseconds: measureBestUs(i => registry.check(fingerprints[i]))
  }
}

/** Least-squares slope of y over x. */
function fitSlope (points: Array<{ x: number, y: number }>): number {
  const meanX = points.reduce((sum, one) => sum + one.x, 0) / points.length
  const meanY = points.reduce((sum, one) => sum + one.y, 0) / points.length
  const covariance = points.reduce((sum, one) => sum + (one.x - meanX) * (one.y - meanY), 0)
  return covariance / points.reduce((sum, one) => sum + (one.x - meanX) ** 2, 0)
}

measureAdmission(8, 128)
const byOrganisations = ORGANISATIONS.map(organisations => measureAdmission(organisations, 8_192))
const byQueue = QUEUE_LENGTHS.map(queue => measureAdmission(200, queue))
const shared = ORGANISATIONS.map(measureShared)
const machine = measureMachines()
const slopes = {
  microsecondsPerDoublingOfOrganisations: fitSlope(byOrganisations.map(row => ({ x: Math.log2(row.organisations), y: row.microseconds }))),
  microsecondsPerDoublingOfQueue: fitSlope(byQueue.map(row => ({ x: Math.log2(row.queue), y: row.microseconds })))
}

console.log('Admission: offer, start and release, by organisations (queue 8,192)')
console.table(byOrganisations)
console.log('by queue length (200 organisations)')
console.table(byQueue)
console.log('Retry budget and suspect check')
console.table(shared)
console.log(`Attempt machine, ${TOKENS} tokens`)
console.table([machine])
console.table([slopes])
fs.mkdirSync('docs/figures', { recursive: true })
fs.writeFileSync(FIGURES_PATH, JSON.stringify({ byOrganisations, byQueue, shared, machine, slopes }, null, 2) + '\n')
