import test from 'ava'
import { applyResources, isInForce, listResources, waitUntilInForce } from 'knapweedshunt-cli'
import { startFakeEngine, startFakeService } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import { requestJson } from 'knapweedshunt-utils'
import { startDeployment } from '../startDeployment.ts'
import { ACCESS_KEY, buildDispatchResources, buildEnginePoolResources, buildHotelResources, MODEL } from './hotelResources.ts'

const TIMEOUT_MS = 20_000

test('end to end: the VMs share engine caches, and an order sent to both runs once', async t => {
  const engine = await startFakeEngine({ endpoint: 'language-1' })
  const service = await startFakeService({ endpoint: 'dispatch-1' })
  const deployment = await startDeployment([{ vm: 'vm-1', dataCentre: 'dc-1' }, { vm: 'vm-2', dataCentre: 'dc-1' }])
  const address = { url: deployment.vms[0].admin.url, operatorKey: deployment.operatorKey }
  try {
    await applyResources(address, [...buildHotelResources(), ...buildEnginePoolResources([engine.url]), ...buildDispatchResources(service.url)])
    await waitUntilInForce(address, null, null, TIMEOUT_MS)
    t.true((await listResources(address, null, null)).every(isInForce))

    const prompt = 'rule '.repeat(200)
    const call = { accessKey: ACCESS_KEY, model: MODEL, prompt, marks: [500], maxTokens: 8 }
    const firstResult = await callCompletion({ ...call, url: deployment.vms[0].router.callerUrl })
    const secondResult = await callCompletion({ ...call, url: deployment.vms[1].router.callerUrl })
    t.is(firstResult.type, 'answered')
    t.is(firstResult.type === 'answered' && firstResult.texts.length, 8)
    t.true(secondResult.type === 'answered' && secondResult.cachedTokens > 150)

    const order = { towels: 2, room: 12 }
    for (const vm of [...deployment.vms, ...deployment.vms]) {
      const headers = { authorization: `Bearer ${ACCESS_KEY}`, 'idempotency-key': 'order-1' }
      const answer = await requestJson({ method: 'POST', url: `${vm.router.callerUrl}/v1/services/dispatch`, body: order, headers, timeoutMs: TIMEOUT_MS })
      t.is(answer.status, 200)
    }
    t.deepEqual([...service.executions.values()], [1])
  } finally {
    await deployment.stop()
    await engine.stop()
    await service.stop()
  }
})
