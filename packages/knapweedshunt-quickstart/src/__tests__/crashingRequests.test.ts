import test from 'ava'
import { requestJson } from 'knapweedshunt-utils'
import { checkIdle } from './checkIdle.ts'
import { ACCESS_KEY, MODEL, PROMPT } from './hotelResources.ts'
import { runWithHarness } from './runWithHarness.ts'
import { sendPost } from './sendPost.ts'
import type { RouterHarness } from './startRouterHarness.ts'

const TIMEOUT_MS = 20_000

const RULES = 'The rules of the house. '.repeat(40)
const BAD_SECTION = 'A section with poison in it. '.repeat(10)

/** Sends a chat whose messages are the levels of its prompt. */
async function sendChat (harness: RouterHarness, router: number, contents: string[]): Promise<number> {
  const body = { model: MODEL, stream: false, max_tokens: 12, messages: contents.map(content => ({ role: 'user', content })) }
  return (await requestJson({ method: 'POST', url: `${harness.routers[router].callerUrl}/v1/chat/completions`, headers: { authorization: `Bearer ${ACCESS_KEY}` }, body, timeoutMs: TIMEOUT_MS })).status
}

// Guards against a request that crashes one engine after another, at each router anew.
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
    const refused = await sendPost(harness, JSON.stringify({ model: MODEL, prompt: `${PROMPT}poison`, stream: true, max_tokens: 12 }))
    t.is(refused.status, 422)
    t.true(Number(refused.headers['retry-after']) > 0)
    t.like(refused.body, { error: { ran: 'not-run' } })
    checkIdle(t, harness)
  })
})

// Guards against requests that crash engines by a part of their prompt, of which no two are alike, so that their crashes never add up.
test('requests that share a part which crashes engines are quarantined on all routers, and sound ones are answered', async t => {
  await runWithHarness({ engines: 9, routers: 3 }, async harness => {
    const initialIncarnations = harness.engines.map(engine => engine.state.incarnation)
    for (const engine of harness.engines) engine.state.faults.crashOnText = 'poison'
    const statuses: number[] = []
    for (let n = 0; n < 12; n++) {
      for (let i = 0; i < 3; i++) t.is(await sendChat(harness, (n + i) % 3, [RULES, `sound ${i}`, `own ${n}`]), 200)
      statuses.push(await sendChat(harness, n % 3, n % 2 === 0 ? [RULES, BAD_SECTION, `bad ${n}`] : [BAD_SECTION, `bad ${n}`]))
    }
    t.deepEqual(statuses.slice(-6), [422, 422, 422, 422, 422, 422])
    t.true(harness.engines.filter((engine, i) => engine.state.incarnation !== initialIncarnations[i]).length <= 5)
    checkIdle(t, harness)
  })
})
