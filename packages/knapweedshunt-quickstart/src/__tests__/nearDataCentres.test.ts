import test from 'ava'
import { createHash } from 'node:crypto'
import { applyResources, waitInForce } from 'knapweedshunt-cli'
import { startFakeEngine } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import { sleep } from 'knapweedshunt-utils'
import { startDeployment } from '../startDeployment.ts'

const KEY = 'front-desk-key'
const WAIT_MS = 60_000
const POLL_MS = 50

async function waitUntil (isMet: () => boolean): Promise<void> {
  const endAtMs = performance.now() + WAIT_MS
  while (!isMet()) {
    if (performance.now() > endAtMs) throw new Error('The condition did not come to hold.')
    await sleep(POLL_MS)
  }
}

function buildResources (urls: Record<string, string>): unknown[] {
  return [
    { kind: 'Organisation', name: 'harbour-hotel', spec: {} },
    { kind: 'AccessKey', name: 'front-desk', spec: { organisation: 'harbour-hotel', keyHash: createHash('sha256').update(KEY).digest('hex') } },
    { kind: 'PriorityClass', name: 'interactive', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: 'm', weightsVersion: 'w1', objective: 'tail' } },
    ...Object.entries(urls).map(([dataCentre, url]) => ({ kind: 'Endpoint', name: `language-${dataCentre}`, spec: { pool: 'language', url, dataCentre } })),
    { kind: 'Route', name: 'all', spec: { match: { type: 'model', model: 'm' }, pool: 'language', repeatable: true, priorityClass: 'interactive' } }
  ]
}

test('an engine that dies in a near data centre is avoided, and used again when it is back', async t => {
  const home = await startFakeEngine({ endpoint: 'language-dc-1' })
  let away = await startFakeEngine({ endpoint: 'language-dc-2' })
  const port = Number(new URL(away.url).port)
  const deployment = await startDeployment([{ vm: 'vm-1', dataCentre: 'dc-1' }, { vm: 'vm-2', dataCentre: 'dc-2' }])
  try {
    const [vm] = deployment.vms
    const address = { url: vm.admin.url, operatorKey: deployment.operatorKey }
    await applyResources(address, buildResources({ 'dc-1': home.url, 'dc-2': away.url }))
    await waitInForce(address, null, null, WAIT_MS)
    await waitUntil(() => vm.router.path.endpoints.listUsable('language').length === 2)

    away.crash()
    await away.stop()
    await waitUntil(() => vm.router.path.endpoints.listUsable('language').length === 1)
    for (let i = 0; i < 20; i++) {
      const result = await callCompletion({ url: vm.router.callerUrl, accessKey: KEY, model: 'm', prompt: `case ${i}`, marks: [], maxTokens: 2 })
      t.is(result.type, 'answered')
    }
    t.is(home.state.started, 20)

    away = await startFakeEngine({ endpoint: 'language-dc-2', port })
    await waitUntil(() => vm.router.path.endpoints.listUsable('language').length === 2)
  } finally {
    await deployment.stop()
    await home.stop()
    await away.stop()
  }
})
