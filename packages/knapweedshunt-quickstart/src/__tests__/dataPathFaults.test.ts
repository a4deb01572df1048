import test from 'ava'
import http from 'node:http'
import net from 'node:net'
import type { EngineFaults } from 'knapweedshunt-fakes'
import { requestJson, readBody } from 'knapweedshunt-utils'
import { ACCESS_KEY, MODEL } from './hotelResources.ts'
import { startRouterHarness } from './startRouterHarness.ts'
import type { RouterHarness, RouterHarnessOptions } from './startRouterHarness.ts'
import { waitUntil } from './waitUntil.ts'

/** Long enough that prefix-cache hits decide the placement. */
const PROMPT = 'The lift rules of the house. '.repeat(60)
const TIMEOUT_MS = 20_000
/** Time without output that counts as a hang; long enough that a heavily loaded machine does not trigger it. */
const SILENCE_TIMEOUT_MS = 2_000

async function runWithHarness (options: RouterHarnessOptions, run: (harness: RouterHarness) => Promise<void>): Promise<void> {
  const harness = await startRouterHarness(options)
  try {
    await run(harness)
  } finally {
    await harness.stop()
  }
}

/** Sends the prompt before any fault is set; returns the texts of the answer and the index of the engine that answered. */
async function completeUndisturbed (harness: RouterHarness): Promise<{ texts: string[], engineIndex: number }> {
  const result = await harness.requestCompletion(PROMPT)
  if (result.type !== 'answered') throw new Error(`completion without faults was not answered: ${JSON.stringify(result)}`)
  return { texts: result.texts, engineIndex: harness.engines.findIndex(engine => engine.state.started > 0) }
}

function assertIdle (t: { deepEqual: (a: unknown, b: unknown) => boolean, is: (a: unknown, b: unknown) => boolean }, harness: RouterHarness): void {
  for (const { dataPath } of harness.routers) {
    t.deepEqual(dataPath.admission.countRequests(), { running: 0, waiting: 0, attempts: 0 })
    t.is(dataPath.runningAttempts.size + dataPath.suspectGuard.isolator.inFlight + dataPath.suspectGuard.isolator.suspects + dataPath.placement.inFlight, 0)
  }
}

const RECOVERABLE_FAULTS: Array<[string, Partial<EngineFaults>]> = [
  ['crash mid-stream', { crashAfterTokens: 5 }],
  ['crash before the first token', { crashAfterTokens: 0 }],
  ['reset mid-stream', { resetAfterTokens: 5 }],
  ['reset before the last token', { resetAfterTokens: 11 }],
  ['hang before the response headers', { hang: true }],
  ['hang mid-stream', { hangAfterTokens: 5 }],
  ['truncated stream', { truncateAfterTokens: 5 }],
  ['malformed event', { malformedAfterTokens: 5 }],
  ['duplicated events', { doubleTokens: true }],
  ['swapped events', { swapTokens: true }],
  ['answer that is not an event stream', { plainAnswer: true }],
  ['status 500', { rejectStatus: 500 }],
  ['status 503', { rejectStatus: 503 }]
]

for (const [name, faults] of RECOVERABLE_FAULTS) {
  test(`the caller gets the full answer despite: ${name}`, async t => {
    await runWithHarness({ engines: 3, router: { firstTokenTimeoutMs: SILENCE_TIMEOUT_MS, tokenTimeoutMs: SILENCE_TIMEOUT_MS } }, async harness => {
      const { texts, engineIndex } = await completeUndisturbed(harness)
      Object.assign(harness.engines[engineIndex].state.faults, faults)
      const result = await harness.requestCompletion(PROMPT)
      t.is(harness.engines[engineIndex].state.received, 2)
      t.deepEqual(result.type === 'answered' && result.texts, texts)
      await waitUntil(() => harness.routers[0].dataPath.runningAttempts.size === 0)
      assertIdle(t, harness)
    })
  })
}

// Guards against a router that fails its callers while it reaches no engine, although other routers do.
test('a router that reaches no engine serves through other routers', async t => {
  await runWithHarness({ engines: 3, routers: 2 }, async harness => {
    const { texts } = await completeUndisturbed(harness)
    harness.cutOff(0)
    const result = await harness.requestCompletion(PROMPT)
    t.deepEqual(result.type === 'answered' ? result.texts : result, texts)
  })
})

/** Rest that an engine asks for, in seconds. */
const REST_S = 2

// Guards against requests to an engine that has turned this VM away and asked for rest.
test('an engine that asks for rest gets no requests until it is over', async t => {
  await runWithHarness({ engines: 3 }, async harness => {
    const { engineIndex } = await completeUndisturbed(harness)
    const { state } = harness.engines[engineIndex]
    Object.assign(state.faults, { rejectStatus: 503, retryAfterS: REST_S })
    // The rest begins with the rejection, which is later than this.
    const restUntilMs = performance.now() + REST_S * 1_000
    const results = [await harness.requestCompletion(PROMPT)]
    while (performance.now() < restUntilMs) {
      const { received } = state
      const result = await harness.requestCompletion(PROMPT)
      // A request that ends after the rest is over may have been sent then.
      if (performance.now() >= restUntilMs) break
      results.push(result)
      t.is(state.received, received)
    }
    t.true(results.every(({ type }) => type === 'answered'))
    Object.assign(state.faults, { rejectStatus: 0, retryAfterS: -1 })
    await waitUntil(async () => {
      await harness.requestCompletion(PROMPT)
      return state.received > 2
    })
  })
})

// Guards against requests to an engine that leaves and says so before the directory does.
test('an engine that says it leaves gets no more requests', async t => {
  await runWithHarness({ engines: 3 }, async harness => {
    const { engineIndex } = await completeUndisturbed(harness)
    const { state } = harness.engines[engineIndex]
    state.faults.statesLeaving = true
    const results = []
    for (let n = 0; n < 10; n++) results.push(await harness.requestCompletion(PROMPT))
    t.true(results.every(({ type }) => type === 'answered'))
    t.is(state.received, 2)
  })
})

// Guards against an answer with tokens of two software versions.
test('an answer does not go on at an engine of another software version', async t => {
  await runWithHarness({ engines: 3 }, async harness => {
    const { engineIndex } = await completeUndisturbed(harness)
    for (const [i, engine] of harness.engines.entries()) if (i !== engineIndex) engine.state.faults.softwareVersion = 'v2'
    harness.engines[engineIndex].state.faults.resetAfterTokens = 5
    t.not((await harness.requestCompletion(PROMPT)).type, 'answered')
  })
})

// Guards against a caller that gets tokens of two software versions over its tries.
test('a reconnecting caller is not answered by another software version', async t => {
  await runWithHarness({ engines: 3, routers: 2 }, async harness => {
    const { engineIndex } = await completeUndisturbed(harness)
    for (const [i, engine] of harness.engines.entries()) if (i !== engineIndex) engine.state.faults.softwareVersion = 'v2'
    harness.pushSnapshot({ [`language-${engineIndex + 1}`]: 'dead' })
    t.not((await harness.requestCompletion(PROMPT, 1, { headers: { 'last-event-id': '6' } })).type, 'answered')
  })
})

test('a hanging attempt is moved to another engine as soon as its endpoint is reported dead', async t => {
  await runWithHarness({ engines: 3 }, async harness => {
    const { texts } = await completeUndisturbed(harness)
    for (const engine of harness.engines) engine.state.faults.hangAfterTokens = 4
    const before = harness.engines.map(engine => engine.state.started)
    const pending = harness.requestCompletion(PROMPT)
    const findHangingEngine = () => harness.engines.findIndex((engine, i) => engine.state.started > before[i])
    await waitUntil(() => findHangingEngine() !== -1)
    const hangingIndex = findHangingEngine()
    for (const [i, engine] of harness.engines.entries()) if (i !== hangingIndex) engine.state.faults.hangAfterTokens = -1
    harness.pushSnapshot({ [`language-${hangingIndex + 1}`]: 'dead' })
    const result = await pending
    t.deepEqual(result.type === 'answered' && result.texts, texts)
  })
})

test('an engine\'s rejection of the request is passed on to the caller', async t => {
  await runWithHarness({ engines: 3 }, async harness => {
    for (const engine of harness.engines) engine.state.faults.rejectStatus = 422
    const answer = await post(harness, JSON.stringify({ model: MODEL, prompt: PROMPT }))
    t.is(answer.status, 400)
    t.like(answer.body, { error: { code: 'endpoint_rejected', ran: 'not-run', message: 'The endpoint refused the request: rejected by the fake engine' } })
  })
})

test('a reconnecting caller resumes after its last event on any VM', async t => {
  await runWithHarness({ engines: 3, routers: 2 }, async harness => {
    const { texts } = await completeUndisturbed(harness)
    const result = await harness.requestCompletion(PROMPT, 1, { headers: { 'last-event-id': '6' } })
    t.deepEqual(result.type === 'answered' && result.texts, texts.slice(7))
  })
})

test('a request is cancelled at the engine when its caller disconnects', async t => {
  await runWithHarness({ engines: 1, engine: { tokenMs: 5 } }, async harness => {
    const request = http.request(`${harness.routers[0].callerUrl}/v1/completions`, { method: 'POST', headers: { authorization: `Bearer ${ACCESS_KEY}` } })
    request.on('error', () => {})
    request.once('response', message => message.once('data', () => request.destroy()))
    request.end(JSON.stringify({ model: MODEL, prompt: PROMPT, stream: true, max_tokens: 100_000 }))
    await waitUntil(() => harness.engines[0].state.running === 1)
    await waitUntil(() => harness.engines[0].state.running === 0 && harness.routers[0].dataPath.runningAttempts.size === 0)
    await waitUntil(() => harness.routers[0].dataPath.admission.countRequests().running === 0)
    assertIdle(t, harness)
  })
})

test('a request that crashes engines is quarantined on all routers after two crashes', async t => {
  await runWithHarness({ engines: 5, routers: 3 }, async harness => {
    const initialIncarnations = harness.engines.map(engine => engine.state.incarnation)
    for (const engine of harness.engines) engine.state.faults.crashOnText = 'poison'
    for (const router of [0, 1, 2, 0, 1, 2]) {
      const result = await harness.requestCompletion(`${PROMPT}poison`, router)
      t.is(result.type === 'refused' && result.code, 'request_quarantined')
    }
    t.is(harness.engines.filter((engine, i) => engine.state.incarnation !== initialIncarnations[i]).length, 2)
    t.is((await harness.requestCompletion(PROMPT)).type, 'answered')
    const refused = await post(harness, JSON.stringify({ model: MODEL, prompt: `${PROMPT}poison`, stream: true, max_tokens: 12 }))
    t.is(refused.status, 422)
    t.true(Number(refused.headers['retry-after']) > 0)
    t.like(refused.body, { error: { ran: 'not-run' } })
    assertIdle(t, harness)
  })
})

const RULES = 'The rules of the house. '.repeat(40)
const BAD_SECTION = 'A section with poison in it. '.repeat(10)

/** Sends a chat whose messages are the levels of its prompt. */
async function postChat (harness: RouterHarness, router: number, contents: string[]): Promise<number> {
  const body = { model: MODEL, stream: false, max_tokens: 12, messages: contents.map(content => ({ role: 'user', content })) }
  return (await requestJson({ method: 'POST', url: `${harness.routers[router].callerUrl}/v1/chat/completions`, headers: { authorization: `Bearer ${ACCESS_KEY}` }, body, timeoutMs: TIMEOUT_MS })).status
}

// Guards against requests that crash engines by a part of their prompt, of which no two are alike, so that their crashes never add up.
test('requests that share a part which crashes engines are quarantined on all routers, and sound ones are answered', async t => {
  await runWithHarness({ engines: 9, routers: 3 }, async harness => {
    const initialIncarnations = harness.engines.map(engine => engine.state.incarnation)
    for (const engine of harness.engines) engine.state.faults.crashOnText = 'poison'
    const statuses: number[] = []
    for (let n = 0; n < 12; n++) {
      for (let i = 0; i < 3; i++) t.is(await postChat(harness, (n + i) % 3, [RULES, `sound ${i}`, `own ${n}`]), 200)
      statuses.push(await postChat(harness, n % 3, n % 2 === 0 ? [RULES, BAD_SECTION, `bad ${n}`] : [BAD_SECTION, `bad ${n}`]))
    }
    t.deepEqual(statuses.slice(-6), [422, 422, 422, 422, 422, 422])
    t.true(harness.engines.filter((engine, i) => engine.state.incarnation !== initialIncarnations[i]).length <= 5)
    assertIdle(t, harness)
  })
})

const LIMIT_PER_S = 1
const LIMIT_WINDOW_MS = 4_000
const SAMPLE_MS = 50

// Guards against routers that ignore the rate limit which an engine states, or of which each keeps it alone.
test('an engine gets no more requests than it states for all routers, and the others serve the rest', async t => {
  await runWithHarness({ engines: 4, routers: 3 }, async harness => {
    const { engineIndex } = await completeUndisturbed(harness)
    const { state } = harness.engines[engineIndex]
    state.faults.statedLimitPerS = LIMIT_PER_S
    const results: Array<ReturnType<RouterHarness['requestCompletion']>> = []
    const receivedCounts: number[] = []
    for (let n = 0; n < 200; n++) {
      results.push(harness.requestCompletion(PROMPT, n % 3))
      receivedCounts.push(state.received)
      await new Promise(resolve => setTimeout(resolve, SAMPLE_MS))
    }
    t.true((await Promise.all(results)).every(result => result.type === 'answered'))
    const windowSamples = LIMIT_WINDOW_MS / SAMPLE_MS
    const most = Math.max(...receivedCounts.slice(windowSamples).map((count, i) => count - receivedCounts[i]).slice(10))
    t.true(most <= 1.5 * LIMIT_PER_S * LIMIT_WINDOW_MS / 1_000 + 5, `${most} requests in 4 s`)
    assertIdle(t, harness)
  })
})

test('a short job is hedged when its first token is late', async t => {
  await runWithHarness({ engines: 3, job: 'short' }, async harness => {
    const { texts, engineIndex } = await completeUndisturbed(harness)
    for (let i = 0; i < 50; i++) await harness.requestCompletion(PROMPT)
    harness.engines[engineIndex].state.faults.hang = true
    const result = await harness.requestCompletion(PROMPT)
    t.deepEqual(result.type === 'answered' && result.texts, texts)
    await waitUntil(() => harness.routers[0].dataPath.runningAttempts.size === 0)
    assertIdle(t, harness)
  })
})

test('a stopping router completes all its requests, queued and running', async t => {
  await runWithHarness({ engines: 2, engine: { tokenMs: 10, prefillMsPerToken: 10 }, router: { drainGraceMs: 2_000, endpointWindow: 2 } }, async harness => {
    const url = harness.routers[0].callerUrl
    const keepAliveAgent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    t.is((await requestJson({ method: 'GET', url: `${url}/readyz`, timeoutMs: TIMEOUT_MS, agent: keepAliveAgent })).status, 200)
    const running = Array.from({ length: 8 }, (_, i) => harness.requestCompletion(`${PROMPT}${'word '.repeat(20 * i)}`, 0, { maxTokens: 20 + 20 * i }))
    await waitUntil(() => harness.routers[0].dataPath.admission.countRequests().waiting === 4 && harness.engines.some(engine => engine.state.running > 0))
    const stopped = harness.routers[0].stop()
    const [onOpenConnection, ready, onNewConnection] = await Promise.all([
      harness.requestCompletion(PROMPT, 0, { agent: keepAliveAgent }),
      requestJson({ method: 'GET', url: `${url}/readyz`, timeoutMs: TIMEOUT_MS }),
      harness.requestCompletion(PROMPT)
    ])
    const results = await Promise.all(running)
    t.deepEqual(results.map(result => result.type === 'answered' && result.texts.length), results.map((_, i) => 20 + 20 * i))
    t.is(onOpenConnection.type === 'answered' && onOpenConnection.texts.length, 12)
    t.is(onNewConnection.type === 'refused' && onNewConnection.code, 'shutting_down')
    t.is(ready.status, 503)
    await stopped
    keepAliveAgent.destroy()
  })
})

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

test('invalid requests get their error code and reach no engine', async t => {
  await runWithHarness({ engines: 1, router: { maxBodyBytes: 65_536, requestTimeoutMs: 1_500 } }, async harness => {
    for (const [name, { body, headers, status, code, path, method, ran = 'not-run' }] of INVALID_REQUESTS) {
      const answer = await post(harness, body, headers, path, method)
      t.is(answer.status, status, name)
      t.like(answer.body, { error: { code, ran } }, name)
    }
    const head = `POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${ACCESS_KEY}\r\n`
    t.regex(await sendRaw(harness, `${head}content-length: 100\r\n\r\n{"model"`, true), /^HTTP\/1.1 400 [^]*"ran":"not-run"/)
    t.regex(await sendRaw(harness, `${head}content-length: 100\r\n\r\n{"model"`, false), /^HTTP\/1.1 408 [^]*"code":"request_too_slow"/)
    t.regex(await sendRaw(harness, 'POST nonsense\r\n\r\n', false), /^HTTP\/1.1 400 [^]*"code":"request_unreadable"/)
    t.is(harness.engines[0].state.started, 0)
    assertIdle(t, harness)
  })
})

/** Sends a request with the access key; resolves to status, headers and parsed JSON body. */
async function post (harness: RouterHarness, body: string, headers: Record<string, string> = {}, path = '/v1/completions', method = 'POST'): Promise<{ status: number, headers: http.IncomingHttpHeaders, body: object }> {
  const message = await new Promise<http.IncomingMessage>((resolve, reject) => {
    const request = http.request(harness.routers[0].callerUrl + path, { method, headers: { authorization: `Bearer ${ACCESS_KEY}`, ...headers } })
    request.once('response', resolve)
    request.once('error', reject)
    request.end(body)
  })
  return { status: message.statusCode ?? 0, headers: message.headers, body: JSON.parse(await readBody(message, TIMEOUT_MS)) }
}

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
