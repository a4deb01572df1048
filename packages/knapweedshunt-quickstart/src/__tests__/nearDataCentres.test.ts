import test from 'ava'
import { applyResources, waitInForce } from 'knapweedshunt-cli'
import { startFakeEngine } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import { startDeployment } from '../startDeployment.ts'
import { ACCESS_KEY, buildEngine, buildEngines, buildHotel, MODEL } from './hotelResources.ts'
import { WAIT_MS, waitUntil } from './waitUntil.ts'

test('an engine that dies in a near data centre is avoided, and used again when it is back', async t => {
  const home = await startFakeEngine({ endpoint: 'language-1' })
  let away = await startFakeEngine({ endpoint: 'language-2' })
  const port = Number(new URL(away.url).port)
  const deployment = await startDeployment([{ vm: 'vm-1', dataCentre: 'dc-1' }, { vm: 'vm-2', dataCentre: 'dc-2' }])
  try {
    const [vm] = deployment.vms
    const address = { url: vm.admin.url, operatorKey: deployment.operatorKey }
    await applyResources(address, [...buildHotel(), ...buildEngines([home.url]), buildEngine('language', 'language-2', away.url, 'dc-2')])
    await waitInForce(address, null, null, WAIT_MS)
    await waitUntil(() => vm.router.dataPath.endpoints.listUsable('language').length === 2)

    away.crash()
    await away.stop()
    await waitUntil(() => vm.router.dataPath.endpoints.listUsable('language').length === 1)
    for (let i = 0; i < 20; i++) {
      const result = await callCompletion({ url: vm.router.callerUrl, accessKey: ACCESS_KEY, model: MODEL, prompt: `case ${i}`, marks: [], maxTokens: 2 })
      t.is(result.type, 'answered')
    }
    t.is(home.state.started, 20)

    away = await startFakeEngine({ endpoint: 'language-2', port })
    await waitUntil(() => vm.router.dataPath.endpoints.listUsable('language').length === 2)
  } finally {
    await deployment.stop()
    await home.stop()
    await away.stop()
  }
})
