import test from 'ava'
import { checkIdle } from './checkIdle.ts'
import { completeUndisturbed } from './completeUndisturbed.ts'
import { PROMPT } from './hotelResources.ts'
import { runWithHarness } from './runWithHarness.ts'
import type { RouterHarness } from './startRouterHarness.ts'
import { waitUntil } from './waitUntil.ts'

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
    checkIdle(t, harness)
  })
})
