import test from 'ava'
import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import { buildRequest, buildTokenText, DataPathHarness, TOKEN_COUNT } from './dataPathHarness.ts'
import type { SimulatedAttempt } from './dataPathHarness.ts'

/**
 * Result for the caller: `completed` by the first endpoint, `failed-over` (completed with the help of another endpoint),
 * `cancelled` because the caller disconnected, or an error code and whether the request ran.
 */
type Outcome = 'completed' | 'failed-over' | 'cancelled' | `${string}/${'not-run' | 'may-have-run'}`

const STEPS = ['queued', 'chosen', 'connecting', 'sent', 'first token', 'mid-stream', 'last token', 'finishing'] as const
type Step = typeof STEPS[number]

interface Fault {
  apply (harness: DataPathHarness, step: Step, clock: Clock): Promise<void> | void
}

const isBefore = (step: Step, limit: Step) => STEPS.indexOf(step) < STEPS.indexOf(limit)
const getTargetEndpoint = (attempt: SimulatedAttempt | undefined) => attempt?.endpoint ?? 'e1'

/** Faults by name. Most act on the endpoint of the latest attempt, or on the first endpoint when there is no attempt yet. */
const FAULTS: Record<string, Fault> = {
  crash: {
    apply (harness, step) {
      const attempt = harness.latestAttempt?.call.attempt ?? ''
      harness.latestAttempt?.end(step === 'connecting' ? { type: 'refused', attempt } : { type: 'broken', attempt, reason: 'reset' })
      harness.applySnapshot({ restartedEndpoint: getTargetEndpoint(harness.latestAttempt) })
    }
  },
  lost: { apply: harness => harness.applySnapshot({ states: { [getTargetEndpoint(harness.latestAttempt)]: 'dead' } }) },
  hang: {
    apply (harness) {
      const attempt = harness.latestAttempt?.call.attempt ?? ''
      if (harness.request.repeatable) harness.latestAttempt?.call.emit({ type: 'stalled', attempt, kind: 'between-tokens' })
    }
  },
  reset: {
    apply (harness) {
      const attempt = harness.latestAttempt?.call.attempt ?? ''
      harness.latestAttempt?.end({ type: 'broken', attempt, reason: 'reset' })
    }
  },
  slow: { apply: async (_stage, _step, clock) => { await clock.tickAsync(2_000) } },
  leaving: { apply: harness => harness.applySnapshot({ states: { [getTargetEndpoint(harness.latestAttempt)]: 'leaving' } }) },
  'stale load': { apply: harness => harness.applySnapshot({ loadAgeMs: 60_000 }) },
  'cache events lost, doubled, reordered': {
    apply (harness) {
      const attempt = harness.latestAttempt?.call.attempt ?? 'other'
      for (const cachedTokens of [1e9, 0, null]) harness.path.placement.handleEvent({ type: 'finished', attempt: `${attempt}-late`, cachedTokens })
      const stored = [7, 3, 3, 9, 8].map(n => ({ n, type: 'stored' as const, key: 'a' }))
      for (const endpoint of ['e1', 'e2']) harness.path.placement.handleEvent({ type: 'cacheEvents', endpoint, incarnation: `${endpoint}-1`, weightsVersion: 'w1', entries: stored, lagMs: 5_000 })
    }
  },
  'caller disconnected': { apply: harness => harness.callerAbort.abort() },
  'weights changed': { apply: harness => harness.applySnapshot({ weightsVersion: 'w2' }) },
  'peer unresponsive': {
    async apply (harness, _step, clock) {
      harness.applySnapshot({ peerCount: 2 })
      await clock.tickAsync(10_000)
    }
  },
  'all endpoints dead': { apply: harness => harness.applySnapshot({ states: { e1: 'dead', e2: 'dead', e3: 'dead' } }) }
}

const ALL_COMPLETED = Object.fromEntries(STEPS.map(step => [step, 'completed'])) as Record<Step, Outcome>
const FAILED_OVER_FROM_CONNECTING: Record<Step, Outcome> = { ...ALL_COMPLETED, connecting: 'failed-over', sent: 'failed-over', 'first token': 'failed-over', 'mid-stream': 'failed-over', 'last token': 'failed-over', finishing: 'failed-over' }
const NO_ENDPOINT: Record<Step, Outcome> = {
  queued: 'no_endpoint/not-run',
  chosen: 'no_endpoint/not-run',
  connecting: 'no_endpoint/may-have-run',
  sent: 'no_endpoint/may-have-run',
  'first token': 'no_endpoint/may-have-run',
  'mid-stream': 'no_endpoint/may-have-run',
  'last token': 'no_endpoint/may-have-run',
  finishing: 'no_endpoint/may-have-run'
}

/** Expected outcome of each fault at each step. */
const MATRIX: Record<string, Record<Step, Outcome>> = {
  crash: FAILED_OVER_FROM_CONNECTING,
  lost: FAILED_OVER_FROM_CONNECTING,
  hang: FAILED_OVER_FROM_CONNECTING,
  reset: FAILED_OVER_FROM_CONNECTING,
  slow: ALL_COMPLETED,
  leaving: ALL_COMPLETED,
  'stale load': ALL_COMPLETED,
  'cache events lost, doubled, reordered': ALL_COMPLETED,
  'caller disconnected': Object.fromEntries(STEPS.map(step => [step, 'cancelled'])) as Record<Step, Outcome>,
  'weights changed': ALL_COMPLETED,
  'peer unresponsive': ALL_COMPLETED,
  'all endpoints dead': NO_ENDPOINT
}

const FAILED = 'endpoint_failed/may-have-run'
const DEADLINE = 'deadline_exceeded/may-have-run'

/** Expected outcomes for a non-repeatable request: it fails over only after a refused connection. */
const NON_REPEATABLE_MATRIX: Record<string, Partial<Record<Step, Outcome>>> = {
  crash: { queued: 'completed', connecting: 'failed-over', sent: FAILED, 'first token': FAILED, 'mid-stream': FAILED, 'last token': FAILED, finishing: FAILED },
  lost: { queued: 'completed', connecting: FAILED, sent: FAILED, 'mid-stream': FAILED },
  hang: { sent: DEADLINE, 'mid-stream': DEADLINE },
  reset: { connecting: FAILED, sent: FAILED, 'mid-stream': FAILED },
  leaving: { queued: 'completed', sent: 'completed', 'mid-stream': 'completed' }
}

/** Expected outcomes of two faults. The second is applied 100 ms after the first, once the attempt that follows the first has started. */
const FAULT_PAIRS: Array<[string, string, Partial<Record<Step, Outcome>>]> = [
  ['crash', 'crash', { sent: 'request_quarantined/may-have-run', 'mid-stream': 'request_quarantined/may-have-run' }],
  ['crash', 'hang', { sent: 'failed-over', 'mid-stream': 'failed-over' }],
  ['hang', 'crash', { sent: 'failed-over', 'mid-stream': 'failed-over' }],
  ['hang', 'hang', { sent: 'failed-over', 'mid-stream': 'failed-over' }],
  ['crash', 'leaving', { sent: 'failed-over', 'mid-stream': 'failed-over' }],
  ['weights changed', 'crash', { sent: 'failed-over', 'mid-stream': 'weights_changed/may-have-run', 'last token': 'weights_changed/may-have-run' }],
  ['crash', 'caller disconnected', { sent: 'cancelled', 'mid-stream': 'cancelled' }],
  ['peer unresponsive', 'crash', { sent: 'failed-over', 'mid-stream': 'failed-over' }],
  ['reset', 'all endpoints dead', { sent: 'request_quarantined/may-have-run', 'mid-stream': 'request_quarantined/may-have-run' }],
  ['hang', 'all endpoints dead', { sent: 'no_endpoint/may-have-run', 'mid-stream': 'no_endpoint/may-have-run' }],
  ['leaving', 'crash', { sent: 'failed-over', 'mid-stream': 'failed-over' }]
]

/** Runs the request up to the step, applies the faults there and lets every later attempt succeed. */
async function runScenario (step: Step, faults: string[], repeatable: boolean): Promise<Outcome> {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] })
  const harness = new DataPathHarness(repeatable)
  try {
    const blockers = step === 'queued' ? ['b1', 'b2', 'b3'].map(name => buildRequest(name, true)) : []
    for (const blocker of blockers) await harness.path.admission.waitForAdmission(blocker, new AbortController().signal)
    const admitted = harness.admit()
    const running = step === 'queued' ? admitted.then(() => harness.run()) : admitted.then(() => step === 'chosen' ? undefined : harness.run())
    running.catch(() => {})
    await clock.tickAsync(1)
    advanceTo(harness, step)
    for (const fault of faults) {
      await FAULTS[fault].apply(harness, step, clock)
      await clock.tickAsync(100)
    }
    for (const blocker of blockers) harness.path.admission.release(blocker.requestId)
    const done = step === 'chosen' ? running.then(() => harness.run()) : running
    const result = done.then(() => null, error => error)
    await clock.tickAsync(100)
    for (let i = 0; i < 8; i++) {
      if (!faults.includes('hang') || harness.request.repeatable) completeLatestAttempt(harness)
      await clock.tickAsync(2_000)
    }
    await clock.tickAsync(30_000)
    const error = await result
    if (harness.countLeaks() !== 0) throw new Error(`${harness.countLeaks()} requests or attempts not released`)
    return classifyOutcome(harness, error)
  } finally {
    const closed = harness.path.close()
    await clock.tickAsync(5_000)
    await closed
    clock.uninstall()
  }
}

function advanceTo (harness: DataPathHarness, step: Step): void {
  if (isBefore(step, 'first token')) return
  const tokens = { 'first token': 1, 'mid-stream': 3, 'last token': TOKEN_COUNT, finishing: TOKEN_COUNT }[step as 'mid-stream']
  harness.latestAttempt!.emitTokensUntil(tokens, harness.weightsVersion)
  if (step === 'finishing') harness.latestAttempt!.emitUsage()
}

function completeLatestAttempt (harness: DataPathHarness): void {
  const attempt = harness.latestAttempt
  if (attempt === undefined || attempt.isEnded) return
  attempt.emitTokensUntil(TOKEN_COUNT, harness.weightsVersion)
  attempt.emitUsage()
  attempt.end({ type: 'end', attempt: attempt.call.attempt })
}

function classifyOutcome (harness: DataPathHarness, error: { code: string, ran: string } | null): Outcome {
  if (harness.callerAbort.signal.aborted) return harness.attempts.every(attempt => attempt.isEnded) ? 'cancelled' : 'cancelled/may-have-run'
  const finalResult = error ?? harness.sink.result
  if (typeof finalResult === 'object') return `${finalResult.code}/${finalResult.ran}` as Outcome
  const expected = Array.from({ length: TOKEN_COUNT }, (_, n) => buildTokenText(n)).join('')
  if (finalResult !== 'finished' || harness.sink.texts.join('') !== expected) return `broken: ${finalResult} ${harness.sink.texts.join('')}/not-run`
  return harness.attempts.length === 1 ? 'completed' : 'failed-over'
}

test.serial('every fault at every step gives the expected outcome', async t => {
  for (const [fault, row] of Object.entries(MATRIX)) {
    for (const step of STEPS) t.is(await runScenario(step, [fault], true), row[step], `${fault} when ${step}`)
  }
})

test.serial('a non-repeatable request fails over only after a refused connection', async t => {
  for (const [fault, row] of Object.entries(NON_REPEATABLE_MATRIX)) {
    for (const [step, outcome] of Object.entries(row)) t.is(await runScenario(step as Step, [fault], false), outcome, `${fault} when ${step}`)
  }
})

test.serial('two consecutive faults give the expected outcome', async t => {
  for (const [first, second, row] of FAULT_PAIRS) {
    for (const [step, outcome] of Object.entries(row)) t.is(await runScenario(step as Step, [first, second], true), outcome, `${first} and ${second} when ${step}`)
  }
})
