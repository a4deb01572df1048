import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import { RouterProcess } from './routerProcess.ts'

const MAX_HEAP_MB = 96
const PLAY_MS = 4_000

// Guards against another VM whose answer takes many times its bytes once it is parsed.
test.serial('answers of another router with many small values leave the router running', async t => {
  let answerCount = 0
  const text = `{"jsonrpc":"2.0","id":1,"result":[${Array(3_300_000).fill('[]').join()}]}`
  const peer = http.createServer((message, response) => {
    answerCount++
    message.resume()
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(text)
  })
  await new Promise<void>(resolve => peer.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    peer.close()
    peer.closeAllConnections()
  })
  const routerUrl = `http://127.0.0.1:${(peer.address() as AddressInfo).port}`
  const vms = [{ vm: 'peer', incarnation: 'i1', dataCentre: 'dc-1', controlUrl: routerUrl, routerUrl, state: 'live', appliedRevision: 1 }]
  const router = await RouterProcess.start({ resources: [], vms, maxHeapMb: MAX_HEAP_MB })
  t.teardown(() => router.stop())
  for (const endMs = performance.now() + PLAY_MS; performance.now() < endMs && router.isRunning;) await sleep(50)
  t.true(router.isRunning)
  t.true(answerCount > 0)
  t.log(`${answerCount} answers, heap ${router.report.mostHeapMb.toFixed(0)} MB, held up for ${router.report.mostHeldUpMs.toFixed(0)} ms`)
})
