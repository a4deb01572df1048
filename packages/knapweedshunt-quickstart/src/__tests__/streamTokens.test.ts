import test from 'ava'
import { applyResources, waitUntilInForce } from 'knapweedshunt-cli'
import { startFakeEngine } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import { startDeployment } from '../startDeployment.ts'
import { ACCESS_KEY, buildEnginePoolResources, buildHotelResources, MODEL, PROMPT } from './hotelResources.ts'
import { runWithHarness } from './runWithHarness.ts'
import type { RouterHarness, RouterHarnessOptions } from './startRouterHarness.ts'
import { WAIT_TIMEOUT_MS, waitUntil } from './waitUntil.ts'

interface BegunStream {
  texts: string[]
  token: string
  /** Index of the engine that answered. */
  engineIndex: number
}

async function runWithStream (options: RouterHarnessOptions, run: (harness: RouterHarness, stream: BegunStream) => Promise<void>): Promise<void> {
  await runWithHarness(options, async harness => await run(harness, await beginStream(harness)))
}

async function beginStream (harness: RouterHarness): Promise<BegunStream> {
  let token = ''
  const result = await harness.requestCompletion(PROMPT, 0, { onHead: headers => { token = String(headers['x-stream-token']) } })
  if (result.type !== 'answered') throw new Error(`stream without faults was not answered: ${JSON.stringify(result)}`)
  return { texts: result.texts, token, engineIndex: harness.engines.findIndex(engine => engine.state.started > 0) }
}

function resume (harness: RouterHarness, router: number, token: string): ReturnType<RouterHarness['requestCompletion']> {
  return harness.requestCompletion(PROMPT, router, { headers: { 'last-event-id': '6', 'x-stream-token': token } })
}

// Guards against streams that are refused, or go on at another version, because no router remembers what began them.
test('after a restart of all routers a stream goes on at its software version only', async t => {
  await runWithStream({ engines: 3, routers: 2 }, async (harness, { texts, token, engineIndex }) => {
    harness.engines[engineIndex].state.faults.softwareVersion = 'v2'
    await harness.restartRouters()
    const resumed = await resume(harness, 1, token)
    t.deepEqual(resumed.type === 'answered' && resumed.texts, texts.slice(7))
    for (const engine of harness.engines) engine.state.faults.softwareVersion = 'v2'
    const refused = await resume(harness, 0, token)
    t.is(refused.type === 'refused' && refused.code, 'software_changed')
  })
})

// Guards against a guess by routers that have heard of no version yet.
test('after a restart of all routers a number alone resumes nothing until versions are known', async t => {
  await runWithStream({ engines: 3, routers: 2 }, async (harness, { texts }) => {
    const headers = { 'last-event-id': '6' }
    await harness.restartRouters()
    const received = harness.engines.map(engine => engine.state.received)
    const refused = await harness.requestCompletion(PROMPT, 1, { headers })
    t.is(refused.type === 'refused' && refused.code, 'software_changed')
    t.deepEqual(harness.engines.map(engine => engine.state.received), received)
    t.is((await harness.requestCompletion(PROMPT, 0)).type, 'answered')
    const resumed = await harness.requestCompletion(PROMPT, 1, { headers })
    t.deepEqual(resumed.type === 'answered' && resumed.texts, texts.slice(7))
  })
})

// Guards against a token that is believed without a check.
test('a forged token counts as none', async t => {
  await runWithStream({ engines: 3, routers: 2 }, async (harness, { token, engineIndex }) => {
    for (const [i, engine] of harness.engines.entries()) if (i !== engineIndex) engine.state.faults.softwareVersion = 'v2'
    harness.pushSnapshot({ [`language-${engineIndex + 1}`]: 'dead' })
    t.is((await harness.requestCompletion(PROMPT, 0)).type, 'answered')
    const received = harness.engines.map(engine => engine.state.received)
    const body = Buffer.from(JSON.stringify({ pool: 'language', softwareVersion: 'v2', weightsVersion: 'w1' })).toString('base64url')
    for (const forged of [`${body}.${token.split('.')[1]}`, `${body}.`, body, 'x'.repeat(4_000)]) {
      const result = await resume(harness, 1, forged)
      t.is(result.type === 'refused' && result.code, 'software_changed')
    }
    t.deepEqual(harness.engines.map(engine => engine.state.received), received)
  })
})

// Guards against a stream that is begun anew, or continued, by other weights after a roll-out.
test('a caller that resumes after a roll-out is told that the weights changed', async t => {
  await runWithStream({ engines: 2, routers: 2 }, async (harness, { token }) => {
    for (const engine of harness.engines) engine.state.weightsVersion = 'w2'
    const result = await resume(harness, 1, token)
    t.is(result.type === 'refused' && result.code, 'weights_changed')
  })
})

// Guards against a new stream that is refused because its caller still holds the token of another.
test('a token without an event id begins a new stream', async t => {
  await runWithStream({ engines: 2 }, async (harness, { texts, token }) => {
    for (const engine of harness.engines) engine.state.faults.softwareVersion = 'v2'
    const result = await harness.requestCompletion(PROMPT, 0, { headers: { 'x-stream-token': token } })
    t.deepEqual(result.type === 'answered' && result.texts, texts)
  })
})

// Guards against routers that learn the software versions of endpoints only by sending them requests.
test('routers know the software versions that engines report', async t => {
  const engines = await Promise.all(['language-1', 'language-2'].map(endpoint => startFakeEngine({ endpoint })))
  engines[1].state.faults.softwareVersion = 'v2'
  const deployment = await startDeployment([{ vm: 'vm-1', dataCentre: 'dc-1' }, { vm: 'vm-2', dataCentre: 'dc-1' }])
  try {
    const address = { url: deployment.vms[0].admin.url, operatorKey: deployment.operatorKey }
    await applyResources(address, [...buildHotelResources(), ...buildEnginePoolResources(engines.map(engine => engine.url))])
    await waitUntilInForce(address, null, null, WAIT_TIMEOUT_MS)
    const listVersions = () => deployment.vms.flatMap(({ router }) => router.dataPath.softwareVersions.listVersions('language'))
    await waitUntil(() => listVersions().includes('v1') && listVersions().includes('v2'))
    for (const { router } of deployment.vms) {
      const result = await callCompletion({ url: router.callerUrl, accessKey: ACCESS_KEY, model: MODEL, prompt: PROMPT, marks: [], maxTokens: 12, headers: { 'last-event-id': '6' } })
      t.is(result.type === 'refused' && result.code, 'software_changed')
    }
    t.deepEqual(engines.map(engine => engine.state.received), [0, 0])
  } finally {
    await deployment.stop()
    await Promise.all(engines.map(engine => engine.stop()))
  }
})
