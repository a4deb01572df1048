import type http from 'node:http'
import { Readable } from 'node:stream'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { EventMemory } from '../flow/eventMemory.ts'
import { EventRate } from '../flow/eventRate.ts'
import { EventTurns } from '../flow/eventTurns.ts'
import { ForwardingTurns } from '../flow/forwardingTurns.ts'
import { StreamRelay } from '../flow/streamRelay.ts'
import type { CallerResponse } from '../shared/callerResponse.ts'

function installClock (t: ExecutionContext): FakeTimers.Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  return clock
}

// Guards against a sound stream that is slowed down.
test.serial('a stream may send as fast as engines produce, and a repeated beginning at once', t => {
  const clock = installClock(t)
  const rate = new EventRate()
  rate.recordEvents(3_999)
  for (let i = 0; i < 1_000; i++) {
    clock.tick(10)
    rate.recordEvents(20)
    t.false(rate.isExceeded)
  }
})

// Guards against a flood that never counts as one, and a stream that counts as one for ever.
test.serial('a stream with too many events counts as one until it slows down', t => {
  const clock = installClock(t)
  const rate = new EventRate()
  rate.recordEvents(1e6)
  t.true(rate.isExceeded)
  clock.tick(10)
  rate.recordEvents(1_000)
  t.true(rate.isExceeded)
  clock.tick(10)
  rate.recordEvents(10)
  t.false(rate.isExceeded)
})

// Guards against many floods that together leave no time to other work.
test.serial('turns follow one another, with rests between them', async t => {
  const clock = installClock(t)
  const turns = new EventTurns()
  const { signal } = new AbortController()
  const begunAtMs: number[] = []
  const waits = [10, 10, 5].map(turnMs => turns.wait(turnMs, signal).then(() => begunAtMs.push(performance.now())))
  await clock.tickAsync(1_000)
  await Promise.all(waits)
  t.deepEqual(begunAtMs, [30, 70, 95])
})

// Guards against a stream that waits for long after the process was held up in its turn.
test.serial('a turn in which the process was held up causes no long rest', async t => {
  const clock = installClock(t)
  const wait = new EventTurns().wait(5_000, new AbortController().signal)
  await clock.tickAsync(200)
  await wait
  t.pass()
})

// Guards against a stream that another endpoint has taken over and that still waits.
test.serial('the wait for a turn ends with its signal', async t => {
  installClock(t)
  const turns = new EventTurns()
  const controller = new AbortController()
  turns.wait(50, new AbortController().signal)
  const wait = turns.wait(50, controller.signal)
  controller.abort()
  await wait
  t.pass()
})

const EVENT_COUNT = 50_000
const CHUNK_EVENTS = 2_000

/** Pause objective of a stream, in milliseconds. */
const PAUSE_OBJECTIVE_MS = 400

// Guards against turns that break the pause objective of a stream whose events come all at once.
test.serial('a stream whose events come all at once is forwarded whole and without long pauses', async t => {
  const events = Array.from({ length: EVENT_COUNT }, (_, n) => `id: ${n + 1}\ndata: t${n + 1}\n\n`)
  const chunks = Array.from({ length: EVENT_COUNT / CHUNK_EVENTS }, (_, n) => Buffer.from(events.slice(n * CHUNK_EVENTS, (n + 1) * CHUNK_EVENTS).join('')))
  const written: Buffer[] = []
  const callerResponse = { hasCallerLeft: false, write: (bytes: Buffer) => written.push(bytes) > 0 } as unknown as CallerResponse
  const relay = new StreamRelay(callerResponse, true, null, new EventMemory(), new EventTurns(), new ForwardingTurns())
  const result = await relay.forward(buildResponse(chunks), { stallTimeoutMs: 2 * PAUSE_OBJECTIVE_MS, onStalled: () => t.fail(), onChunk: () => {}, onNewEvents: () => {}, onFirstEvent: () => {}, onHeldTooMuch: () => {} })
  t.like(result, { type: 'complete' })
  t.is(Buffer.concat(written).toString(), events.join(''))
  t.true(relay.longestPauseMs < PAUSE_OBJECTIVE_MS, `${relay.longestPauseMs} ms`)
})

function buildResponse (chunks: Buffer[]): http.IncomingMessage {
  return Object.assign(Readable.from(chunks), { complete: true, headers: { 'content-type': 'text/event-stream' } }) as unknown as http.IncomingMessage
}

const STREAM_COUNT = 100
const PLAY_MS = 2_000

/** Longest time for which other work may wait, in milliseconds; 100 chunks of 60 kB of small events take several times as long. */
const MAX_HELD_UP_MS = 250

// Guards against the first events of many streams, which each may send at once: together they hold the process up for seconds.
test.serial('the first events of many streams leave turns to other work', async t => {
  const chunk = Buffer.from('data: token\n\n'.repeat(5_000))
  const callerResponse = { hasCallerLeft: false, write: () => true } as unknown as CallerResponse
  const [memory, eventTurns, forwardingTurns] = [new EventMemory(), new EventTurns(), new ForwardingTurns()]
  let longestMs = 0
  let lastMs = performance.now()
  const timer = setInterval(() => {
    longestMs = Math.max(longestMs, performance.now() - lastMs)
    lastMs = performance.now()
  }, 1)
  const responses = Array.from({ length: STREAM_COUNT }, () => buildResponse([chunk, chunk, chunk]))
  const relays = responses.map(response => new StreamRelay(callerResponse, true, null, memory, eventTurns, forwardingTurns).forward(response, { stallTimeoutMs: null, onStalled: () => {}, onChunk: () => {}, onNewEvents: () => {}, onFirstEvent: () => {}, onHeldTooMuch: () => {} }))
  await new Promise(resolve => setTimeout(resolve, PLAY_MS))
  clearInterval(timer)
  for (const response of responses) response.destroy()
  await Promise.allSettled(relays)
  t.true(longestMs < MAX_HELD_UP_MS, `${Math.round(longestMs)} ms`)
})

function collectGarbage (): void {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc')()
}

// Guards against thousands of small events that are kept for each stream that waits, at many times the memory of their bytes.
test.serial('events that were forwarded are not kept while the stream waits', async t => {
  const written: Array<WeakRef<Buffer>> = []
  const drained = new AbortController()
  const callerResponse = {
    hasCallerLeft: false,
    write: (bytes: Buffer) => {
      written.push(new WeakRef(bytes))
      return false
    },
    waitDrain: () => new Promise<boolean>(resolve => drained.signal.addEventListener('abort', () => resolve(true)))
  } as unknown as CallerResponse
  const relay = new StreamRelay(callerResponse, true, null, new EventMemory(), new EventTurns(), new ForwardingTurns())
  const result = relay.forward(buildResponse([Buffer.from('id: 1\ndata: t1\n\n')]), { stallTimeoutMs: null, onStalled: () => {}, onChunk: () => {}, onNewEvents: () => {}, onFirstEvent: () => {}, onHeldTooMuch: () => {} })
  while (written.length === 0) await new Promise(resolve => setImmediate(resolve))
  await new Promise(resolve => setTimeout(resolve, 10))
  collectGarbage()
  t.is(written[0].deref(), undefined)
  drained.abort()
  t.like(await result, { type: 'complete' })
})
