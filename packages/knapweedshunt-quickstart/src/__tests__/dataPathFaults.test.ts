import test from 'ava'
import type { EngineFaults } from 'knapweedshunt-fakes'
import { checkIdle } from './checkIdle.ts'
import { completeUndisturbed } from './completeUndisturbed.ts'
import { MODEL, PROMPT } from './hotelResources.ts'
import { runWithHarness } from './runWithHarness.ts'
import { sendPost } from './sendPost.ts'
import { waitUntil } from './waitUntil.ts'

/** Time without output that counts as a hang; long enough that a heavily loaded machine does not trigger it. */
const SILENCE_TIMEOUT_MS = 2_000

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

// Guards against a fault of one engine that its caller notices.
for (const [name, faults] of RECOVERABLE_FAULTS) {
  test(`the caller gets the full answer despite: ${name}`, async t => {
    await runWithHarness({ engines: 3, router: { firstTokenTimeoutMs: SILENCE_TIMEOUT_MS, tokenTimeoutMs: SILENCE_TIMEOUT_MS } }, async harness => {
      const { texts, engineIndex } = await completeUndisturbed(harness)
      Object.assign(harness.engines[engineIndex].state.faults, faults)
      const result = await harness.requestCompletion(PROMPT)
      t.is(harness.engines[engineIndex].state.received, 2)
      t.deepEqual(result.type === 'answered' && result.texts, texts)
      await waitUntil(() => harness.routers[0].dataPath.runningAttempts.size === 0)
      checkIdle(t, harness)
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

// Guards against a request that waits for an engine which is known to be dead.
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

// Guards against a router that retries, or calls its own fault, what the engine finds wrong with a request.
test('an engine\'s rejection of the request is passed on to the caller', async t => {
  await runWithHarness({ engines: 3 }, async harness => {
    for (const engine of harness.engines) engine.state.faults.rejectStatus = 422
    const answer = await sendPost(harness, JSON.stringify({ model: MODEL, prompt: PROMPT }))
    t.is(answer.status, 400)
    t.like(answer.body, { error: { code: 'endpoint_rejected', ran: 'not-run', message: 'The endpoint refused the request: rejected by the fake engine' } })
  })
})

// Guards against events that a caller gets twice, or not at all, as it comes back to another router.
test('a reconnecting caller resumes after its last event on any VM', async t => {
  await runWithHarness({ engines: 3, routers: 2 }, async harness => {
    const { texts } = await completeUndisturbed(harness)
    const result = await harness.requestCompletion(PROMPT, 1, { headers: { 'last-event-id': '6' } })
    t.deepEqual(result.type === 'answered' && result.texts, texts.slice(7))
  })
})

// Guards against a short job that waits for a late first token although other engines are free.
test('a short job is hedged when its first token is late', async t => {
  await runWithHarness({ engines: 3, job: 'short' }, async harness => {
    const { texts, engineIndex } = await completeUndisturbed(harness)
    for (let i = 0; i < 50; i++) await harness.requestCompletion(PROMPT)
    harness.engines[engineIndex].state.faults.hang = true
    const result = await harness.requestCompletion(PROMPT)
    t.deepEqual(result.type === 'answered' && result.texts, texts)
    await waitUntil(() => harness.routers[0].dataPath.runningAttempts.size === 0)
    checkIdle(t, harness)
  })
})
