import test from 'ava'
import http from 'node:http'
import { requestJson } from 'knapweedshunt-utils'
import { checkIdle } from './checkIdle.ts'
import { PROMPT } from './hotelResources.ts'
import { runWithHarness } from './runWithHarness.ts'
import { sendAndLeave } from './sendAndLeave.ts'
import { waitUntil } from './waitUntil.ts'

const TIMEOUT_MS = 20_000

// Guards against an engine that stays at work for a caller who has left.
test('a request is cancelled at the engine when its caller disconnects', async t => {
  await runWithHarness({ engines: 1, engine: { tokenMs: 5 } }, async harness => {
    sendAndLeave(harness)
    await waitUntil(() => harness.engines[0].state.running === 1)
    await waitUntil(() => harness.engines[0].state.running === 0 && harness.routers[0].dataPath.runningAttempts.size === 0)
    await waitUntil(() => harness.routers[0].dataPath.admission.countRequests().running === 0)
    checkIdle(t, harness)
  })
})

// Guards against requests that a router drops as it stops, and against new ones that it accepts.
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
