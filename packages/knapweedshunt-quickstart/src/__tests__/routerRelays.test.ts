import test from 'ava'
import http from 'node:http'
import { RELAY_HEADER } from 'knapweedshunt-membership'
import { encodeJsonHeader, readBody, requestJson } from 'knapweedshunt-utils'
import { ACCESS_KEY, MODEL, PROMPT } from './hotelResources.ts'
import { runWithHarness } from './runWithHarness.ts'
import { sendAndLeave } from './sendAndLeave.ts'
import { HARNESS_PEER_KEY } from './startRouterHarness.ts'
import type { RouterHarness } from './startRouterHarness.ts'
import { waitUntil } from './waitUntil.ts'

const LONG_TOKENS = 60
const TIMEOUT_MS = 20_000

function countStarted (harness: RouterHarness): number {
  return harness.engines.reduce((sum, engine) => sum + engine.state.started, 0)
}

async function readTexts (harness: RouterHarness, router: number, maxTokens = 12): Promise<string[]> {
  const result = await harness.requestCompletion(PROMPT, router, { maxTokens })
  if (result.type !== 'answered') throw new Error(`completion was not answered: ${JSON.stringify(result)}`)
  return result.texts
}

async function mintTicket (harness: RouterHarness, router: number): Promise<string> {
  const answer = await requestJson({ method: 'POST', url: `${harness.routers[router].callerUrl}/v1/tickets`, headers: { authorization: `Bearer ${ACCESS_KEY}` }, timeoutMs: TIMEOUT_MS })
  return (answer.body as { ticket: string }).ticket
}

async function placeOrder (harness: RouterHarness, router: number, ticket: string): Promise<{ status: number, text: string }> {
  const body = JSON.stringify({ model: MODEL, prompt: PROMPT, max_tokens: 12 })
  return await send(`${harness.routers[router].callerUrl}/v1/completions`, { authorization: `Bearer ${ACCESS_KEY}`, 'x-order-ticket': ticket }, body)
}

/** Sends an attempt to a router as another router would. */
async function sendRelayed (harness: RouterHarness, router: number, change: object, key = HARNESS_PEER_KEY, accessKey = ACCESS_KEY): Promise<{ status: number, answer: string }> {
  const attempt = { from: 'vm-9', pool: 'language', repeatable: true, resumeFrom: 0, softwareVersion: '', weightsVersion: '', ...change }
  const headers = { authorization: `Bearer ${accessKey}`, [RELAY_HEADER.key]: key, [RELAY_HEADER.request]: encodeJsonHeader(attempt) }
  const { status, headers: answerHeaders } = await send(`${harness.routers[router].peerUrl}/v1/completions`, headers, JSON.stringify({ model: MODEL, prompt: PROMPT, max_tokens: 2 }))
  return { status, answer: decodeURIComponent(String(answerHeaders[RELAY_HEADER.answer])) }
}

async function send (url: string, headers: Record<string, string>, body: string): Promise<{ status: number, headers: http.IncomingHttpHeaders, text: string }> {
  const message = await new Promise<http.IncomingMessage>((resolve, reject) => {
    const request = http.request(url, { method: 'POST', headers, agent: false })
    request.once('response', resolve)
    request.once('error', reject)
    request.end(body)
  })
  return { status: message.statusCode ?? 0, headers: message.headers, text: await readBody(message, TIMEOUT_MS) }
}

// Guards against orders that run twice, or not at all, at a router that reaches no engine.
test('an order at a router that reaches no engine runs once through another one', async t => {
  await runWithHarness({ engines: 3, routers: 3 }, async harness => {
    const ticket = await mintTicket(harness, 0)
    harness.cutOff(0)
    const first = await placeOrder(harness, 0, ticket)
    t.is(first.status, 200)
    t.is(countStarted(harness), 1)
    t.is((await placeOrder(harness, 0, ticket)).status, 200)
    t.is(countStarted(harness), 1)
  })
})

// Guards against an order that is sent on although it may have run.
test('a relayed order whose answer is lost is not run again', async t => {
  await runWithHarness({ engines: 3, routers: 3 }, async harness => {
    const ticket = await mintTicket(harness, 0)
    harness.cutOff(0)
    for (const engine of harness.engines) engine.state.faults.resetAfterTokens = 5
    const answer = await placeOrder(harness, 0, ticket)
    t.regex(answer.text, /"ran":"may-have-run"/)
    t.is(countStarted(harness), 1)
  })
})

// Guards against a stream that breaks off with the links of its router.
test('a stream goes on through another router when its own loses all engines', async t => {
  await runWithHarness({ engines: 3, routers: 2, engine: { tokenMs: 5 } }, async harness => {
    const texts = await readTexts(harness, 1, LONG_TOKENS)
    const engineIndex = harness.engines.findIndex(engine => engine.state.started > 0)
    const pending = harness.requestCompletion(PROMPT, 0, { maxTokens: LONG_TOKENS })
    await waitUntil(() => harness.engines[engineIndex].state.running === 1)
    harness.cutOff(0)
    harness.engines[engineIndex].crash()
    const result = await pending
    t.deepEqual(result.type === 'answered' ? result.texts : result, texts)
  })
})

// Guards against routers that hand a request to each other.
test('a relayed request is not relayed again', async t => {
  await runWithHarness({ engines: 3, routers: 3 }, async harness => {
    harness.cutOff(1)
    t.is((await harness.requestCompletion(PROMPT, 1)).type, 'answered')
    const started = countStarted(harness)
    const { status, answer } = await sendRelayed(harness, 1, {})
    t.is(status, 503)
    t.regex(answer, /"ran":"not-run"/)
    t.is(countStarted(harness), started)
  })
})

// Guards against a request that is said to have run although no engine was asked.
test('a request is refused as not run when no router reaches an engine', async t => {
  await runWithHarness({ engines: 3, routers: 3 }, async harness => {
    for (const router of [0, 1, 2]) harness.cutOff(router)
    for (const router of [0, 1, 2, 0]) {
      const answer = await send(`${harness.routers[router].callerUrl}/v1/completions`, { authorization: `Bearer ${ACCESS_KEY}` }, JSON.stringify({ model: MODEL, prompt: PROMPT }))
      t.true(answer.status >= 500)
      t.regex(answer.text, /"ran":"not-run"/)
    }
    t.is(countStarted(harness), 0)
  })
})

// Guards against a relayed stream that breaks off as its router stops, and against new ones that fail there.
test('a stopping router completes what others relayed to it, and the next requests go to another', async t => {
  await runWithHarness({ engines: 3, routers: 3, engine: { tokenMs: 5 } }, async harness => {
    const texts = await readTexts(harness, 1, LONG_TOKENS)
    const shortTexts = await readTexts(harness, 1)
    harness.cutOff(0)
    const before = countStarted(harness)
    const pending = harness.requestCompletion(PROMPT, 0, { maxTokens: LONG_TOKENS })
    await waitUntil(() => countStarted(harness) > before)
    const serving = harness.routers.findIndex((router, i) => i > 0 && router.dataPath.runningAttempts.size > 0)
    const stopped = harness.routers[serving].stop()
    t.regex((await sendRelayed(harness, serving, {})).answer, /"shutting_down".*"not-run"/)
    const next = Array.from({ length: 5 }, () => readTexts(harness, 0))
    const result = await pending
    t.deepEqual(result.type === 'answered' ? result.texts : result, texts)
    for (const nextTexts of await Promise.all(next)) t.deepEqual(nextTexts, shortTexts)
    await stopped
  })
})

// Guards against an engine that stays at work, and places that stay taken, after the caller of a relayed request has left.
test('a caller who leaves ends the request at the other router', async t => {
  await runWithHarness({ engines: 1, routers: 2, engine: { tokenMs: 5 }, timeoutMs: 120_000 }, async harness => {
    harness.cutOff(0)
    sendAndLeave(harness)
    await waitUntil(() => harness.engines[0].state.running === 1)
    await waitUntil(() => harness.engines[0].state.running === 0)
    for (const { dataPath } of harness.routers) {
      await waitUntil(() => dataPath.admission.countRequests().running === 0)
      t.deepEqual(dataPath.admission.countRequests(), { running: 0, waiting: 0, attempts: 0 })
      t.is(dataPath.relays.handleReach().relayedCount, 0)
    }
  })
})

// Guards against a router that believes what another one, or a caller, says of a request.
test('a relayed request needs the key of the routers, a key of a caller and the same route', async t => {
  await runWithHarness({ engines: 1, routers: 1 }, async harness => {
    t.regex((await sendRelayed(harness, 0, {}, 'wrong key')).answer, /"key_unknown".*"not-run"/)
    t.regex((await sendRelayed(harness, 0, {}, HARNESS_PEER_KEY, 'unknown-key')).answer, /"key_unknown".*"not-run"/)
    t.regex((await sendRelayed(harness, 0, { pool: 'other' })).answer, /"not_ready".*"not-run"/)
    t.regex((await sendRelayed(harness, 0, { repeatable: false })).answer, /"not_ready".*"not-run"/)
    t.regex((await sendRelayed(harness, 0, { resumeFrom: -1 })).answer, /"not-run"/)
    t.is(countStarted(harness), 0)
    t.regex((await sendRelayed(harness, 0, {})).answer, /"forwarded"/)
  })
})
