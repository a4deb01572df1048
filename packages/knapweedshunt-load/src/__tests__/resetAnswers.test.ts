import test from 'ava'
import type { ExecutionContext } from 'ava'
import { startUnframedServer, UNFRAMED_END } from 'knapweedshunt-fakes'
import type { UnframedAnswer, UnframedServer } from 'knapweedshunt-fakes'
import { HttpError } from 'knapweedshunt-utils'
import { callCompletion } from '../callCompletion.ts'
import { callOrder } from '../callOrder.ts'

const STREAM = 'data: {"choices":[{"text":"a"}]}\n\ndata: [DONE]\n\n'
const COMPLETION = { accessKey: 'k', model: 'm', prompt: 'p', marks: [], maxTokens: 1 }
const ORDER = { accessKey: 'k', path: '/dispatch', key: 'order-1', timeoutMs: 10_000 }

async function startServer (t: ExecutionContext, answer: UnframedAnswer): Promise<UnframedServer> {
  const server = await startUnframedServer(answer)
  t.teardown(() => server.stop())
  return server
}

for (const end of [UNFRAMED_END.resetAtOnce, UNFRAMED_END.resetLater]) {
  // Guards against an order that counts as run because its refusal was reset before the first byte of the body.
  test(`an order whose answer is reset does not count as run: ${end}`, async t => {
    const server = await startServer(t, { status: 503, body: '', end })
    await t.throwsAsync(callOrder({ ...ORDER, url: server.url }), { instanceOf: HttpError })
  })

  // Guards against a refusal that is counted without its code because a part of its body parses.
  test(`a refusal of a completion that is reset does not count as refused: ${end}`, async t => {
    const server = await startServer(t, { status: 503, body: '5', end })
    await t.throwsAsync(callCompletion({ ...COMPLETION, url: server.url }), { instanceOf: HttpError })
  })

  // Guards against a stream that counts as cut although all of it arrived, and against one that counts as answered although its end did not arrive.
  test(`a stream that is reset is answered only with its end: ${end}`, async t => {
    const whole = await startServer(t, { body: STREAM, end })
    const part = await startServer(t, { body: STREAM.slice(0, -1), end })
    t.like(await callCompletion({ ...COMPLETION, url: whole.url }), { type: 'answered', texts: ['a'] })
    t.like(await callCompletion({ ...COMPLETION, url: part.url }), { type: 'cut', texts: ['a'] })
  })
}

for (const end of [UNFRAMED_END.closed, UNFRAMED_END.halfClosed, UNFRAMED_END.closedThenReset]) {
  // Guards against whole answers that count as lost because their connection was reset after a regular end.
  test(`answers without a length that end regularly are counted: ${end}`, async t => {
    const order = await startServer(t, { body: '{}', end })
    const refusal = await startServer(t, { status: 503, body: '{"error":{"code":"queue_full"}}', end })
    const stream = await startServer(t, { body: STREAM, end })
    t.like(await callOrder({ ...ORDER, url: order.url }), { type: 'ran', status: 200 })
    t.like(await callCompletion({ ...COMPLETION, url: refusal.url }), { type: 'refused', status: 503, code: 'queue_full' })
    t.like(await callCompletion({ ...COMPLETION, url: stream.url }), { type: 'answered', texts: ['a'] })
    t.deepEqual([order.requests, refusal.requests, stream.requests], [1, 1, 1])
  })
}
