import test from 'ava'
import type { ExecutionContext } from 'ava'
import type { AttemptEvent } from 'knapweedshunt-attempts'
import { startUnframedServer, UNFRAMED_END } from 'knapweedshunt-fakes'
import type { UnframedAnswer, UnframedServer } from 'knapweedshunt-fakes'
import http from 'node:http'
import type { AttemptCall } from '../attemptCall.ts'
import { buildAnswerHeader } from '../relays/relayHeaders.ts'
import { runRelay } from '../relays/runRelay.ts'
import type { RelayCall } from '../relays/runRelay.ts'
import { runAttempt } from '../runAttempt.ts'
import { buildRequest } from './dataPathHarness.ts'

const STREAM_HEADERS = { 'content-type': 'text/event-stream' }
const TOKEN = 'id: 0\ndata: {"text":"a"}\n\n'
const WHOLE_STREAM = `${TOKEN}data: [DONE]\n\n`
const RESETS = [UNFRAMED_END.resetAtOnce, UNFRAMED_END.resetLater]

async function startServer (t: ExecutionContext, answer: UnframedAnswer): Promise<UnframedServer> {
  const server = await startUnframedServer(answer)
  t.teardown(() => server.stop())
  return server
}

/** Runs an attempt at a server that answers as given; lists its events. */
async function runCall (t: ExecutionContext, answer: UnframedAnswer, isRelayed: boolean): Promise<AttemptEvent[]> {
  const { url } = await startServer(t, isRelayed ? { ...answer, headers: { ...answer.headers, ...buildAnswerHeader({ type: 'forwarded' }) } } : answer)
  const agent = new http.Agent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const events: AttemptEvent[] = []
  const call = {
    attempt: 'a',
    url,
    request: buildRequest('r', true),
    salt: '',
    resumeFrom: 0,
    agent,
    signal: new AbortController().signal,
    stallLimits: null,
    recordLimit () {},
    recordSignals () {},
    emit: (event: AttemptEvent) => events.push(event),
    waitDrain: () => null
  }
  if (isRelayed) await runRelay({ ...call, key: 'k', relayed: { from: 'vm-1', pool: 'language', repeatable: true, resumeFrom: 0, softwareVersion: '', weightsVersion: '' }, callerHeaders: {} } as unknown as RelayCall)
  else await runAttempt(call as unknown as AttemptCall)
  return events
}

for (const end of RESETS) {
  // Guards against a stream that is run again although its end arrived before the reset.
  test(`a stream that is reset after its end is complete: ${end}`, async t => {
    for (const isRelayed of [false, true]) {
      const events = await runCall(t, { headers: STREAM_HEADERS, body: WHOLE_STREAM, end }, isRelayed)
      t.deepEqual(events.map(event => event.type), ['head', 'token', 'end'])
    }
  })
}
