import test from 'ava'
import net from 'node:net'
import { checkIdle } from './checkIdle.ts'
import { ACCESS_KEY, MODEL } from './hotelResources.ts'
import { runWithHarness } from './runWithHarness.ts'
import { sendPost } from './sendPost.ts'
import type { RouterHarness } from './startRouterHarness.ts'

const VALID_BODY = JSON.stringify({ model: MODEL, prompt: 'a' })

/** A refusal of a request with an idempotency key says `may-have-run`, not `not-run`, because another VM may have run it. */
const INVALID_REQUESTS: Array<[string, { body: string, path?: string, method?: string, headers?: Record<string, string>, status: number, code: string, ran?: string }]> = [
  ['no access key', { body: VALID_BODY, headers: { authorization: '' }, status: 401, code: 'key_missing' }],
  ['unknown access key', { body: VALID_BODY, headers: { authorization: 'Bearer none' }, status: 401, code: 'key_unknown' }],
  ['no body', { body: '', status: 400, code: 'bad_request' }],
  ['no messages', { body: JSON.stringify({ model: MODEL, messages: [] }), path: '/v1/chat/completions', status: 400, code: 'bad_request' }],
  ['max_tokens below 1', { body: JSON.stringify({ model: MODEL, prompt: 'a', max_tokens: -1 }), status: 400, code: 'bad_request' }],
  ['stream not a boolean', { body: JSON.stringify({ model: MODEL, prompt: 'a', stream: 'yes' }), status: 400, code: 'bad_request' }],
  ['descending prefix marks', { body: VALID_BODY, headers: { 'x-prefix-marks': '20,10' }, status: 400, code: 'header_invalid' }],
  ['event id not a number', { body: VALID_BODY, headers: { 'last-event-id': 'last' }, status: 400, code: 'header_invalid' }],
  ['repeatable not a boolean', { body: VALID_BODY, headers: { 'x-repeatable': 'maybe' }, status: 400, code: 'header_invalid' }],
  ['idempotency key too long', { body: VALID_BODY, headers: { 'idempotency-key': 'k'.repeat(256) }, status: 400, code: 'header_invalid', ran: 'may-have-run' }],
  ['idempotency key and ticket', { body: VALID_BODY, headers: { 'idempotency-key': 'k', 'x-order-ticket': 't' }, status: 400, code: 'header_invalid', ran: 'may-have-run' }],
  ['unknown priority class', { body: VALID_BODY, headers: { 'x-priority-class': 'royal' }, status: 400, code: 'header_invalid' }],
  ['not repeatable without idempotency key', { body: VALID_BODY, headers: { 'x-repeatable': 'false' }, status: 400, code: 'idempotency_key_required' }],
  ['unknown path', { body: VALID_BODY, path: '/v2/completions', status: 404, code: 'route_unknown' }],
  ['unknown service', { body: VALID_BODY, path: '/v1/services/none', status: 404, code: 'route_unknown' }],
  ['ticket requested with GET', { body: '', path: '/v1/tickets', method: 'GET', status: 405, code: 'method_not_allowed' }],
  ['order key with invalid percent-encoding', { body: '', path: '/v1/orders/%zz', method: 'GET', status: 400, code: 'bad_request' }],
  ['truncated JSON', { body: '{"model":', status: 400, code: 'bad_request' }],
  ['prompt not a string', { body: JSON.stringify({ model: MODEL, prompt: 7 }), status: 400, code: 'bad_request' }],
  ['unknown model', { body: JSON.stringify({ model: 'other', prompt: 'a' }), status: 404, code: 'route_unknown' }],
  ['body too large', { body: JSON.stringify({ model: MODEL, prompt: 'x'.repeat(70_000) }), status: 413, code: 'body_too_large' }],
  ['timeout not a number', { body: '{}', headers: { 'x-timeout-ms': 'soon' }, status: 400, code: 'header_invalid' }],
  ['malformed request id', { body: '{}', headers: { 'x-request-id': 'a b' }, status: 400, code: 'header_invalid' }],
  ['headers too large', { body: '{}', headers: { 'x-filler': 'x'.repeat(20_000) }, status: 431, code: 'headers_too_large' }]
]

/** Sends raw text and half-closes the connection if `endsStream`; resolves to everything received. */
function sendRaw (harness: RouterHarness, text: string, endsStream: boolean): Promise<string> {
  const { hostname, port } = new URL(harness.routers[0].callerUrl)
  return new Promise((resolve, reject) => {
    const socket = net.connect({ host: hostname, port: Number(port), allowHalfOpen: true })
    let answer = ''
    socket.setEncoding('utf8')
    socket.on('data', chunk => { answer += chunk })
    socket.once('end', () => {
      socket.end()
      resolve(answer)
    })
    socket.once('error', reject)
    if (endsStream) socket.end(text)
    else socket.write(text)
  })
}

// Guards against a request that is refused for another reason than its own, or said to have run, and against one that reaches an engine.
test('invalid requests get their error code and reach no engine', async t => {
  await runWithHarness({ engines: 1, router: { maxBodyBytes: 65_536, requestTimeoutMs: 1_500 } }, async harness => {
    for (const [name, { body, headers, status, code, path, method, ran = 'not-run' }] of INVALID_REQUESTS) {
      const answer = await sendPost(harness, body, headers, path, method)
      t.is(answer.status, status, name)
      t.like(answer.body, { error: { code, ran } }, name)
    }
    const head = `POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${ACCESS_KEY}\r\n`
    t.regex(await sendRaw(harness, `${head}content-length: 100\r\n\r\n{"model"`, true), /^HTTP\/1.1 400 [^]*"ran":"not-run"/)
    t.regex(await sendRaw(harness, `${head}content-length: 100\r\n\r\n{"model"`, false), /^HTTP\/1.1 408 [^]*"code":"request_too_slow"/)
    t.regex(await sendRaw(harness, 'POST nonsense\r\n\r\n', false), /^HTTP\/1.1 400 [^]*"code":"request_unreadable"/)
    t.is(harness.engines[0].state.started, 0)
    checkIdle(t, harness)
  })
})
