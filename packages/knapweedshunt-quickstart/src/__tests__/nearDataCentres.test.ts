import test from 'ava'
import { applyResources, waitUntilInForce } from 'knapweedshunt-cli'
import { startFakeEngine } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import { startDeployment } from '../startDeployment.ts'
import { ACCESS_KEY, buildEngineResource, buildEnginePoolResources, buildHotelResources, MODEL } from './hotelResources.ts'
import { WAIT_TIMEOUT_MS, waitUntil } from './waitUntil.ts'

test('a crashed engine in a near data centre gets no requests, and is used again after its restart', async t => {
  const localEngine = await startFakeEngine({ endpoint: 'language-1' })
  let remoteEngine = await startFakeEngine({ endpoint: 'language-2' })
  const port = Number(new URL(remoteEngine.url).port)
  const deployment = await startDeployment([{ vm: 'vm-1', dataCentre: 'dc-1' }, { vm: 'vm-2', dataCentre: 'dc-2' }])
  try {
    const [vm] = deployment.vms
    const address = { url: vm.admin.url, operatorKey: deployment.operatorKey }
    await applyResources(address, [...buildHotelResources(), ...buildEnginePoolResources([localEngine.url]), buildEngineResource('language', 'language-2', remoteEngine.url, 'dc-2')])
    await waitUntilInForce(address, null, null, WAIT_TIMEOUT_MS)
    await waitUntil(() => vm.router.dataPath.endpoints.listUsable('language').length === 2)

    remoteEngine.crash()
    await remoteEngine.stop()
    await waitUntil(() => vm.router.dataPath.endpoints.listUsable('language').length === 1)
    for (let i = 0; i < 20; i++) {
      const result = await callCompletion({ url: vm.router.callerUrl, accessKey: ACCESS_KEY, model: MODEL, prompt: `case ${i}`, marks: [], maxTokens: 2 })
      t.is(result.type, 'answered')
    }
    t.is(localEngine.state.started, 20)

    remoteEngine = await startFakeEngine({ endpoint: 'language-2', port })
    await waitUntil(() => vm.router.dataPath.endpoints.listUsable('language').length === 2)
  } finally {
    await deployment.stop()
    await localEngine.stop()
    await remoteEngine.stop()
  }
})
