import test from 'ava'
import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import { buildRequest, nameToken, Stage, TOKENS } from './stage.ts'
import type { PlayedAttempt } from './stage.ts'

/**
 * What the caller gets: `whole` from the endpoint chosen first, `moved` whole with the help of another endpoint,
 * `gone` nothing more, or an error's code and whether the request ran.
 */
type Outcome = 'whole' | 'moved' | 'gone' | `${string}/${'not-run' | 'may-have-run'}`

const STEPS = ['queued', 'chosen', 'connecting', 'sent', 'first token', 'mid-stream', 'last token', 'finishing'] as const
type Step = typeof STEPS[number]

interface Fault {
  apply (stage: Stage, step: Step, clock: Clock): Promise<void> | void
}

const isBefore = (step: Step, limit: Step) => STEPS.indexOf(step) < STEPS.indexOf(limit)
const nameEndpoint = (attempt: PlayedAttempt | undefined) => attempt?.endpoint ?? 'e1'

/** Endpoint of the running attempt, or the first one. */
const FAULTS: Record<string, Fault> = {
  crash: {
    apply (stage, step) {
      const attempt = stage.latest?.call.attempt ?? ''
      stage.latest?.end(step === 'connecting' ? { type: 'refused', attempt } : { type: 'broken', attempt, reason: 'reset' })
      stage.push({ restarted: nameEndpoint(stage.latest) })
    }
  },
  lost: { apply: stage => stage.push({ states: { [nameEndpoint(stage.latest)]: 'dead' } }) },
  hang: {
    apply (stage) {
      const attempt = stage.latest?.call.attempt ?? ''
      if (stage.request.repeatable) stage.latest?.call.emit({ type: 'stalled', attempt, kind: 'between-tokens' })
    }
  },
  reset: {
    apply (stage) {
      const attempt = stage.latest?.call.attempt ?? ''
      stage.latest?.end({ type: 'broken', attempt, reason: 'reset' })
    }
  },
  slow: { apply: async (_stage, _step, clock) => { await clock.tickAsync(2_000) } },
  leaving: { apply: stage => stage.push({ states: { [nameEndpoint(stage.latest)]: 'leaving' } }) },
  'stale load': { apply: stage => stage.push({ loadAgeMs: 60_000 }) },
  'cache events lost, doubled, reordered': {
    apply (stage) {
      const attempt = stage.latest?.call.attempt ?? 'other'
      for (const cachedTokens of [1e9, 0, null]) stage.path.placement.handleEvent({ type: 'finished', attempt: `${attempt}-late`, cachedTokens })
      const stored = [7, 3, 3, 9, 8].map(n => ({ n, type: 'stored' as const, key: 'a' }))
      for (const endpoint of ['e1', 'e2']) stage.path.placement.handleEvent({ type: 'cacheEvents', endpoint, incarnation: `${endpoint}-1`, weightsVersion: 'w1', entries: stored, lagMs: 5_000 })
    }
  },
  'caller gone': { apply: stage => stage.gone.abort() },
  'weights changed': { apply: stage => stage.push({ weightsVersion: 'w2' }) },
  'peer silent': {
    async apply (stage, _step, clock) {
      stage.push({ peers: 2 })
      await clock.tickAsync(10_000)
    }
  },
  'all endpoints dead': { apply: stage => stage.push({ states: { e1: 'dead', e2: 'dead', e3: 'dead' } }) }
}

const ALL_WHOLE = Object.fromEntries(STEPS.map(step => [step, 'whole'])) as Record<Step, Outcome>
const MOVED_ONCE_RUNNING: Record<Step, Outcome> = { ...ALL_WHOLE, connecting: 'moved', sent: 'moved', 'first token': 'moved', 'mid-stream': 'moved', 'last token': 'moved', finishing: 'moved' }
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

/** One row per fault, one cell per step. */
const MATRIX: Record<string, Record<Step, Outcome>> = {
  crash: MOVED_ONCE_RUNNING,
  lost: MOVED_ONCE_RUNNING,
  hang: MOVED_ONCE_RUNNING,
  reset: MOVED_ONCE_RUNNING,
  slow: ALL_WHOLE,
  leaving: ALL_WHOLE,
  'stale load': ALL_WHOLE,
  'cache events lost, doubled, reordered': ALL_WHOLE,
  'caller gone': Object.fromEntries(STEPS.map(step => [step, 'gone'])) as Record<Step, Outcome>,
  'weights changed': ALL_WHOLE,
  'peer silent': ALL_WHOLE,
  'all endpoints dead': NO_ENDPOINT
}

const FAILED = 'endpoint_failed/may-have-run'
const DEADLINE = 'deadline_exceeded/may-have-run'

/** The same for a request that may not be repeated: only a refused connection lets it move on. */
const ONCE_MATRIX: Record<string, Partial<Record<Step, Outcome>>> = {
  crash: { queued: 'whole', connecting: 'moved', sent: FAILED, 'first token': FAILED, 'mid-stream': FAILED, 'last token': FAILED, finishing: FAILED },
  lost: { queued: 'whole', connecting: FAILED, sent: FAILED, 'mid-stream': FAILED },
  hang: { sent: DEADLINE, 'mid-stream': DEADLINE },
  reset: { connecting: FAILED, sent: FAILED, 'mid-stream': FAILED },
  leaving: { queued: 'whole', sent: 'whole', 'mid-stream': 'whole' }
}

/** Two faults, the second as soon as an attempt has followed the first. */
const PAIRS: Array<[string, string, Partial<Record<Step, Outcome>>]> = [
  ['crash', 'crash', { sent: 'request_quarantined/may-have-run', 'mid-stream': 'request_quarantined/may-have-run' }],
  ['crash', 'hang', { sent: 'moved', 'mid-stream': 'moved' }],
  ['hang', 'crash', { sent: 'moved', 'mid-stream': 'moved' }],
  ['hang', 'hang', { sent: 'moved', 'mid-stream': 'moved' }],
  ['crash', 'leaving', { sent: 'moved', 'mid-stream': 'moved' }],
  ['weights changed', 'crash', { sent: 'moved', 'mid-stream': 'weights_changed/may-have-run', 'last token': 'weights_changed/may-have-run' }],
  ['crash', 'caller gone', { sent: 'gone', 'mid-stream': 'gone' }],
  ['peer silent', 'crash', { sent: 'moved', 'mid-stream': 'moved' }],
  ['reset', 'all endpoints dead', { sent: 'request_quarantined/may-have-run', 'mid-stream': 'request_quarantined/may-have-run' }],
  ['hang', 'all endpoints dead', { sent: 'no_endpoint/may-have-run', 'mid-stream': 'no_endpoint/may-have-run' }],
  ['leaving', 'crash', { sent: 'moved', 'mid-stream': 'moved' }]
]

/** Plays the request up to the step, applies the faults there, and lets every later attempt succeed. */
async function playCell (step: Step, faults: string[], repeatable: boolean): Promise<Outcome> {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] })
  const stage = new Stage(repeatable)
  try {
    const blockers = step === 'queued' ? ['b1', 'b2', 'b3'].map(name => buildRequest(name, true)) : []
    for (const blocker of blockers) await stage.path.gate.enter(blocker, new AbortController().signal)
    const admitted = stage.admit()
    const running = step === 'queued' ? admitted.then(() => stage.run()) : admitted.then(() => step === 'chosen' ? undefined : stage.run())
    running.catch(() => {})
    await clock.tickAsync(1)
    playTo(stage, step)
    for (const fault of faults) {
      await FAULTS[fault].apply(stage, step, clock)
      await clock.tickAsync(100)
    }
    for (const blocker of blockers) stage.path.gate.leave(blocker.requestId)
    const done = step === 'chosen' ? running.then(() => stage.run()) : running
    const result = done.then(() => null, error => error)
    await clock.tickAsync(100)
    for (let i = 0; i < 8; i++) {
      if (!faults.includes('hang') || stage.request.repeatable) playOut(stage)
      await clock.tickAsync(2_000)
    }
    await clock.tickAsync(30_000)
    const error = await result
    if (stage.countLeaks() !== 0) throw new Error(`${stage.countLeaks()} leaks`)
    return nameOutcome(stage, error)
  } finally {
    const closed = stage.path.close()
    await clock.tickAsync(5_000)
    await closed
    clock.uninstall()
  }
}

function playTo (stage: Stage, step: Step): void {
  if (isBefore(step, 'first token')) return
  const tokens = { 'first token': 1, 'mid-stream': 3, 'last token': TOKENS, finishing: TOKENS }[step as 'mid-stream']
  stage.latest!.playTo(tokens, stage.weightsVersion)
  if (step === 'finishing') stage.latest!.playUsage()
}

function playOut (stage: Stage): void {
  const attempt = stage.latest
  if (attempt === undefined || attempt.over) return
  attempt.playTo(TOKENS, stage.weightsVersion)
  attempt.playUsage()
  attempt.end({ type: 'end', attempt: attempt.call.attempt })
}

function nameOutcome (stage: Stage, error: { code: string, ran: string } | null): Outcome {
  if (stage.gone.signal.aborted) return stage.attempts.every(attempt => attempt.over) ? 'gone' : 'gone/may-have-run'
  const shown = error ?? stage.sink.result
  if (typeof shown === 'object') return `${shown.code}/${shown.ran}` as Outcome
  const expected = Array.from({ length: TOKENS }, (_, n) => nameToken(n)).join('')
  if (shown !== 'finished' || stage.sink.texts.join('') !== expected) return `broken: ${shown} ${stage.sink.texts.join('')}/not-run`
  return stage.attempts.length === 1 ? 'whole' : 'moved'
}

test.serial('every fault at every step', async t => {
  for (const [fault, row] of Object.entries(MATRIX)) {
    for (const step of STEPS) t.is(await playCell(step, [fault], true), row[step], `${fault} when ${step}`)
  }
})

test.serial('faults of a request that may not be repeated', async t => {
  for (const [fault, row] of Object.entries(ONCE_MATRIX)) {
    for (const [step, outcome] of Object.entries(row)) t.is(await playCell(step as Step, [fault], false), outcome, `${fault} when ${step}`)
  }
})

test.serial('two faults at once', async t => {
  for (const [first, second, row] of PAIRS) {
    for (const [step, outcome] of Object.entries(row)) t.is(await playCell(step as Step, [first, second], true), outcome, `${first} and ${second} when ${step}`)
  }
})
