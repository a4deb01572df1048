import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { PROMPT } from './hotelResources.ts'
import { runWithHarness } from './runWithHarness.ts'

/** Time after the last reset within which the request must be answered again, in milliseconds. */
const MAX_REFUSED_MS = 5_000

const INTERVAL_MS = 200

/** Interval at which engines report, in milliseconds. */
const REPORT_INTERVAL_MS = 300

// Guards against requests that stay refused after engines which live on have reset their connections.
test('a request that engines reset while they live on is answered by all routers once they do not', async t => {
  await runWithHarness({ engines: 3, routers: 2 }, async harness => {
    const initialIncarnations = harness.engines.map(engine => engine.state.incarnation)
    const reports = setInterval(() => harness.pushReports(), REPORT_INTERVAL_MS)
    t.teardown(() => clearInterval(reports))
    await sleep(REPORT_INTERVAL_MS)
    for (const engine of harness.engines) engine.state.faults.resetAfterTokens = 1
    for (let n = 0; n < 6; n++) t.not((await harness.requestCompletion(PROMPT, n % 2)).type, 'answered')
    for (const engine of harness.engines) engine.state.faults.resetAfterTokens = -1
    const endedAtMs = performance.now()
    for (const router of [0, 1]) {
      while ((await harness.requestCompletion(PROMPT, router)).type !== 'answered') {
        if (performance.now() > endedAtMs + MAX_REFUSED_MS) return t.fail(`not answered by router ${router}`)
        await sleep(INTERVAL_MS)
      }
    }
    t.deepEqual(harness.engines.map(engine => engine.state.incarnation), initialIncarnations)
  })
})
