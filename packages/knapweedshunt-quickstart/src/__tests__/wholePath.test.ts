import test from 'ava'
import { createHash } from 'node:crypto'
import { applyResources, isInForce, listResources, waitInForce } from 'knapweedshunt-cli'
import { startFakeEngine, startFakeService } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import { callJson } from 'knapweedshunt-utils'
import { startDeployment } from '../startDeployment.ts'

const ACCESS_KEY = 'front-desk-key'
const TIMEOUT_MS = 20_000

function buildResources (engineUrl: string, serviceUrl: string): unknown[] {
  const endpoint = { dataCentre: 'dc-1', weight: 1 }
  return [
    { kind: 'Organisation', name: 'harbour-hotel', spec: { weight: 1 } },
    { kind: 'AccessKey', name: 'front-desk', spec: { organisation: 'harbour-hotel', keyHash: createHash('sha256').update(ACCESS_KEY).digest('hex') } },
    { kind: 'PriorityClass', name: 'interactive', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: 'house-rules', weightsVersion: 'w1', objective: 'tail' } },
    { kind: 'EndpointPool', name: 'dispatch', spec: { type: 'service' } },
    { kind: 'Endpoint', name: 'language-1', spec: { ...endpoint, pool: 'language', url: engineUrl, cacheBlocks: 4000 } },
    { kind: 'Endpoint', name: 'dispatch-1', spec: { ...endpoint, pool: 'dispatch', url: serviceUrl } },
    { kind: 'Route', name: 'completions', spec: { match: { type: 'model', model: 'house-rules' }, pool: 'language', repeatable: true, priorityClass: 'interactive' } },
    { kind: 'Route', name: 'dispatch', spec: { match: { type: 'path', prefix: '/dispatch' }, pool: 'dispatch', repeatable: false, priorityClass: 'interactive' } }
  ]
}

test('whole path', async t => {
  const engine = await startFakeEngine({ endpoint: 'language-1' })
  const service = await startFakeService({ endpoint: 'dispatch-1' })
  const deployment = await startDeployment([{ vm: 'vm-1', dataCentre: 'dc-1' }, { vm: 'vm-2', dataCentre: 'dc-1' }])
  const address = { url: deployment.vms[0].admin.url, operatorKey: deployment.operatorKey }
  try {
    await applyResources(address, buildResources(engine.url, service.url))
    await waitInForce(address, null, null, TIMEOUT_MS)
    t.true((await listResources(address, null, null)).every(isInForce))

    const prompt = 'rule '.repeat(200)
    const call = { accessKey: ACCESS_KEY, model: 'house-rules', prompt, marks: [500], maxTokens: 8 }
    const first = await callCompletion({ ...call, url: deployment.vms[0].router.callerUrl })
    const second = await callCompletion({ ...call, url: deployment.vms[1].router.callerUrl })
    t.is(first.type, 'answered')
    t.is(first.type === 'answered' && first.texts.length, 8)
    t.true(second.type === 'answered' && second.cachedTokens > 150)

    const order = { towels: 2, room: 12 }
    for (const vm of [...deployment.vms, ...deployment.vms]) {
      const headers = { authorization: `Bearer ${ACCESS_KEY}`, 'idempotency-key': 'order-1' }
      const answer = await callJson({ method: 'POST', url: `${vm.router.callerUrl}/v1/services/dispatch`, body: order, headers, timeoutMs: TIMEOUT_MS })
      t.is(answer.status, 200)
    }
    t.deepEqual([...service.executions.values()], [1])
  } finally {
    await deployment.stop()
    await engine.stop()
    await service.stop()
  }
})
