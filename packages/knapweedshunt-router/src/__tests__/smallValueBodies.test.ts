import { createHash } from 'node:crypto'
import http from 'node:http'
import test from 'ava'
import { RouterProcess } from './routerProcess.ts'

const ACCESS_KEY = 'hotel-key'
const MAX_HEAP_MB = 96

/** Below the longest body of a caller. */
const BODY_BYTES = 4_000_000

const RESOURCES = [
  { kind: 'Organisation', name: 'hotel', spec: { weight: 1 } },
  { kind: 'AccessKey', name: 'hotel', spec: { organisation: 'hotel', keyHash: createHash('sha256').update(ACCESS_KEY).digest('hex') } },
  { kind: 'PriorityClass', name: 'now', spec: { rank: 0, enginePriority: 0 } },
  { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: 'm', weightsVersion: 'w1', objective: 'tail', floor: 0 } },
  { kind: 'Route', name: 'language', spec: { match: { type: 'model', model: 'm' }, pool: 'language', repeatable: true, job: 'short', priorityClass: 'now', timeoutMs: 1_000 } }
]

async function callChat (callerUrl: string, body: string): Promise<number | null> {
  const headers = { authorization: `Bearer ${ACCESS_KEY}`, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
  const request = http.request(`${callerUrl}/v1/chat/completions`, { method: 'POST', agent: false, headers, signal: AbortSignal.timeout(20_000) })
  request.end(body)
  return await new Promise(resolve => {
    request.once('error', () => resolve(null))
    request.once('response', response => {
      response.resume()
      response.once('error', () => resolve(null))
      response.once('end', () => resolve(response.statusCode ?? null))
    })
  })
}

function repeatItem (item: string): string {
  return Array(Math.floor(BODY_BYTES / (item.length + 1))).fill(item).join()
}

const BODIES: Record<string, string> = {
  numbers: `[${repeatItem('0')}]`,
  'long numbers': `[${repeatItem('123456789012')}]`,
  'empty objects': `[${repeatItem('{}')}]`,
  'empty parts': `[{"role":"user","content":[${repeatItem('{}')}]}]`,
  'long numbers as parts': `[{"role":"user","content":[${repeatItem('123456789012')}]}]`
}

for (const [name, messages] of Object.entries(BODIES)) {
  // Guards against an object for each thing that is wrong with a body, hundreds of bytes for a byte or two: one caller ends the router.
  test.serial(`a body that does not match its schema leaves the router running: ${name}`, async t => {
    const router = await RouterProcess.start({ resources: RESOURCES, maxHeapMb: MAX_HEAP_MB })
    t.teardown(() => router.stop())
    const status = await callChat(router.report.callerUrl, `{"model":"m","messages":${messages}}`)
    t.is(status, name.startsWith('long') ? 400 : 413)
    for (const wrong of ['[0]', '[]', '{}']) t.is(await callChat(router.report.callerUrl, `{"model":"m","messages":${wrong}}`), 400)
    t.true(router.isRunning)
  })
}
