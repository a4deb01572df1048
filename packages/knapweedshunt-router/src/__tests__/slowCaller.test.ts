import test from 'ava'
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import type { AttemptEvent } from 'knapweedshunt-attempts'
import type { AttemptCall } from '../attemptCall.ts'
import { readEngineStream } from '../readEngineStream.ts'
import { StallTimer } from '../stallTimer.ts'
import { buildRequest, buildShare } from './dataPathHarness.ts'

const TOKENS = 500

test('an engine stream is read no faster than the caller consumes it', async t => {
  const events: AttemptEvent[] = []
  let drain = () => {}
  let isSlow = true
  let producedTokens = 0
  function * produce () {
    for (; producedTokens < TOKENS; producedTokens++) yield Buffer.from(`id: ${producedTokens}\ndata: {"text":"w"}\n\n`)
    yield Buffer.from('data: [DONE]\n\n')
  }
  const message = Object.assign(Readable.from(produce()), { headers: { 'content-type': 'text/event-stream' }, statusCode: 200 })
  const call = {
    attempt: 'a',
    request: buildRequest('r', true),
    share: buildShare(),
    signal: new AbortController().signal,
    emit: (event: AttemptEvent) => events.push(event),
    waitDrain: () => isSlow ? new Promise<void>(resolve => { drain = resolve }) : null
  } as unknown as AttemptCall
  const stalls: string[] = []
  const timer = new StallTimer({ firstTokenMs: 60_000, betweenTokensMs: 60_000 }, kind => stalls.push(kind))
  const done = readEngineStream(call, message as unknown as IncomingMessage, timer)
  for (let i = 0; i < 50; i++) await new Promise(resolve => setImmediate(resolve))
  t.true(producedTokens < TOKENS / 4)
  t.is(events.filter(event => event.type === 'token').length, 1)
  isSlow = false
  drain()
  await done
  timer.stop()
  t.is(events.filter(event => event.type === 'token').length, TOKENS)
  t.is(events.at(-1)?.type, 'end')
  t.deepEqual(stalls, [])
})

// Guards against tokens of an attempt that was given up, while slices of what was read from it wait.
test('nothing of a chunk is passed on once its attempt is given up', async t => {
  const abort = new AbortController()
  const events: AttemptEvent[] = []
  const chunk = Buffer.from(Array.from({ length: TOKENS }, (_, n) => `id: ${n}\ndata: {"text":"w"}\n\n`).join(''))
  const message = Object.assign(Readable.from([chunk]), { headers: { 'content-type': 'text/event-stream' }, statusCode: 200 })
  const emit = (event: AttemptEvent) => {
    events.push(event)
    if (event.type === 'token') abort.abort()
  }
  const call = { attempt: 'a', request: buildRequest('r', true), share: buildShare(), signal: abort.signal, emit, waitDrain: () => null } as unknown as AttemptCall
  await t.throwsAsync(readEngineStream(call, message as unknown as IncomingMessage, new StallTimer(null, () => {})), { any: true, name: 'AbortError' })
  t.true(events.length < TOKENS / 4, `${events.length} events`)
})
