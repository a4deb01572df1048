import test from 'ava'
import { startUnframedServer, UNFRAMED_END } from 'knapweedshunt-fakes'
import type { UnframedAnswer, UnframedServer } from 'knapweedshunt-fakes'
import type { ExecutionContext } from 'ava'
import { BodyMemory, HttpError, requestJson } from '../index.ts'

const TIMEOUT_MS = 10_000
const SHORT_TIMEOUT_MS = 200

async function startServer (t: ExecutionContext, answer: UnframedAnswer): Promise<UnframedServer> {
  const server = await startUnframedServer(answer)
  t.teardown(() => server.stop())
  return server
}

for (const end of [UNFRAMED_END.resetAtOnce, UNFRAMED_END.resetLater]) {
  for (const [name, body] of [['empty', ''], ['number', '12'], ['object', '{}']]) {
    // Guards against a part of a JSON document that parses and counts as the whole because its connection was reset.
    test(`a response without a length that is reset is truncated: ${end}, ${name}`, async t => {
      const server = await startServer(t, { body, end })
      const error = await t.throwsAsync(requestJson({ method: 'POST', url: server.url, body: {}, timeoutMs: TIMEOUT_MS }), { instanceOf: HttpError })
      t.regex(String(error?.stack), /ECONNRESET|reset/)
    })
  }
}

// Guards against the part that had arrived at the timeout counting as the whole response.
test('a response without a length that is not whole at the timeout is truncated', async t => {
  const server = await startServer(t, { body: '12', end: UNFRAMED_END.none })
  await t.throwsAsync(requestJson({ method: 'GET', url: server.url, timeoutMs: SHORT_TIMEOUT_MS }), { instanceOf: HttpError })
})

for (const end of [UNFRAMED_END.closed, UNFRAMED_END.halfClosed, UNFRAMED_END.closedThenReset]) {
  // Guards against a whole response that is refused because its connection was reset after a regular end.
  test(`a response without a length that ends regularly is whole: ${end}`, async t => {
    const server = await startServer(t, { body: '12', end })
    t.like(await requestJson({ method: 'POST', url: server.url, body: {}, timeoutMs: TIMEOUT_MS }), { status: 200, body: 12 })
    t.is(server.requests, 1)
  })
}

// Guards against a response that has no body by its status and is refused because its connection was reset.
test('a response without a body is whole before its connection is reset', async t => {
  const server = await startServer(t, { status: 204, body: '', end: UNFRAMED_END.resetAtOnce })
  t.like(await requestJson({ method: 'POST', url: server.url, body: {}, timeoutMs: TIMEOUT_MS }), { status: 204, body: undefined })
})

// Guards against an answer that has room as text, and takes many times as much once it is parsed.
test('values have room as well as their text', async t => {
  const memory = new BodyMemory({ maxBytes: 1024 * 1024, uncountedBytes: 64 * 1024 })
  const call = async (body: string) => {
    const server = await startServer(t, { body, end: UNFRAMED_END.closed })
    return await requestJson({ method: 'GET', url: server.url, timeoutMs: TIMEOUT_MS, memory })
  }
  const error = await t.throwsAsync(call(`[${Array(30_000).fill('[]').join()}]`), { instanceOf: HttpError })
  t.regex(String(error?.stack), /no memory/)
  t.like(await call(`["${'x'.repeat(90_000)}"]`), { status: 200 })
  t.like(await call(`[${Array(500).fill('{"key":"k","value":"v"}').join()}]`), { status: 200 })
  t.is(memory.takenBytes, 0)
})
