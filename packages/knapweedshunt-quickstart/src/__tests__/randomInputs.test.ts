import test from 'ava'
import { createHash } from 'node:crypto'
import fc from 'fast-check'
import http from 'node:http'
import net from 'node:net'
import { applyResources, CliError, parseResourceText, waitUntilInForce } from 'knapweedshunt-cli'
import { startFakeEngine } from 'knapweedshunt-fakes'
import type { FakeEngine } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import { parseResource, ResourceInvalidError } from 'knapweedshunt-resources'
import { requestJson, closeServer, listen } from 'knapweedshunt-utils'
import { startDeployment } from '../startDeployment.ts'
import type { RunningDeployment } from '../startDeployment.ts'
import { ACCESS_KEY, buildEnginePoolResources, buildHotelResources } from './hotelResources.ts'
import { WAIT_TIMEOUT_MS } from './waitUntil.ts'

const SEED = 20_261_203
const RUNS = 150
const HOST = '127.0.0.1'
const ANY_JSON_VALUE = fc.jsonValue({ maxDepth: 3 })
let deployment: RunningDeployment
let engine: FakeEngine
let malformedEngine: http.Server
let malformedStreamText = ''

test.before(async () => {
  engine = await startFakeEngine({ endpoint: 'good-1' })
  malformedEngine = http.createServer((request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.end(malformedStreamText)
  })
  const malformedEngineUrl = await listen(malformedEngine, { host: HOST, port: 0 })
  deployment = await startDeployment([{ vm: 'vm-1', dataCentre: 'dc-1' }])
  const address = { url: deployment.vms[0].admin.url, operatorKey: deployment.operatorKey }
  await applyResources(address, [...buildHotelResources(), ...buildEnginePoolResources([engine.url], { pool: 'good', model: 'good' }), ...buildEnginePoolResources([malformedEngineUrl], { pool: 'garbage', model: 'garbage', route: { repeatable: false, timeoutMs: 5_000 } })])
  await waitUntilInForce(address, null, null, WAIT_TIMEOUT_MS)
})
test.after.always(async () => {
  await deployment?.stop()
  await engine?.stop()
  await closeServer(malformedEngine)
})

function getCallerUrl (): string {
  return deployment.vms[0].router.callerUrl
}

async function isServing (): Promise<boolean> {
  const result = await callCompletion({ url: getCallerUrl(), accessKey: ACCESS_KEY, model: 'good', prompt: 'hello there', marks: [], maxTokens: 2 })
  return result.type === 'answered' && result.texts.length === 2
}

/** Sends raw bytes and resolves to the data received until the connection was closed. */
function sendBytes (url: string, bytes: Uint8Array): Promise<string> {
  return new Promise(resolve => {
    const { hostname, port } = new URL(url)
    const socket = net.connect(Number(port), hostname)
    let text = ''
    socket.on('data', chunk => { text += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => resolve(text))
    socket.end(bytes)
  })
}

test.serial('random bytes get a 4xx answer or none', async t => {
  await fc.assert(fc.asyncProperty(fc.uint8Array({ maxLength: 400 }), async bytes => {
    const text = await sendBytes(getCallerUrl(), bytes)
    return text === '' || /^HTTP\/1\.1 4/.test(text)
  }), { seed: SEED, numRuns: RUNS })
  t.true(await isServing())
})

test.serial('random bodies get a 4xx error with ran not-run and reach no engine', async t => {
  const started = engine.state.started
  const body = fc.oneof(ANY_JSON_VALUE, fc.record({ model: fc.constantFrom('good', 'nowhere'), prompt: ANY_JSON_VALUE, max_tokens: ANY_JSON_VALUE, stream: ANY_JSON_VALUE }))
  const path = fc.constantFrom('/v1/completions', '/v1/chat/completions', '/v1/services/x', '/v1/none')
  const headers = { authorization: `Bearer ${ACCESS_KEY}` }
  await fc.assert(fc.asyncProperty(path, body, async (requestPath, value) => {
    const answer = await requestJson({ method: 'POST', url: getCallerUrl() + requestPath, body: value, headers, timeoutMs: WAIT_TIMEOUT_MS })
    const { error } = answer.body as { error?: { code: string, ran: string } }
    return answer.status >= 400 && answer.status < 500 && error?.ran === 'not-run' && error.code !== ''
  }), { seed: SEED, numRuns: RUNS })
  t.is(engine.state.started, started)
  t.true(await isServing())
})

test.serial('random header values never cause a 5xx answer', async t => {
  const value = fc.stringMatching(/^[\x20-\x7e]{0,40}$/)
  const name = fc.constantFrom('authorization', 'x-prefix-marks', 'x-timeout-ms', 'x-priority-class', 'last-event-id', 'idempotency-key', 'x-repeatable')
  await fc.assert(fc.asyncProperty(name, value, async (header, text) => {
    const headers = { authorization: `Bearer ${ACCESS_KEY}`, [header]: text }
    const answer = await requestJson({ method: 'POST', url: `${getCallerUrl()}/v1/completions`, body: { model: 'good', prompt: 'hello', max_tokens: 1 }, headers, timeoutMs: WAIT_TIMEOUT_MS })
    return answer.status === 200 || (answer.status >= 400 && answer.status < 500)
  }), { seed: SEED, numRuns: RUNS })
  t.true(await isServing())
})

test.serial('a malformed event stream of an engine is never passed on as a complete answer', async t => {
  const line = fc.oneof(
    fc.string({ maxLength: 30 }),
    ANY_JSON_VALUE.map(value => `data: ${JSON.stringify(value)}\n\n`),
    fc.nat(3).map(n => `id: ${n}\ndata: {"text":"a"}\n\n`)
  )
  await fc.assert(fc.asyncProperty(fc.array(line, { maxLength: 6 }), async lines => {
    malformedStreamText = lines.join('')
    const headers = { 'idempotency-key': createHash('sha256').update(malformedStreamText).digest('hex') }
    const result = await callCompletion({ url: getCallerUrl(), accessKey: ACCESS_KEY, model: 'garbage', prompt: 'hello', marks: [], maxTokens: 4, headers })
    return result.type !== 'answered'
  }), { seed: SEED, numRuns: 40 })
  t.true(await isServing())
})

test.serial('random peer calls are answered and leave the applied revision unchanged', async t => {
  const { router, control } = deployment.vms[0]
  const method = fc.constantFrom('router.snapshot', 'router.figures', 'control.exchange', 'control.status', 'nothing')
  const url = fc.constantFrom(router.peerUrl, control.url)
  const call = fc.oneof(ANY_JSON_VALUE, fc.record({ jsonrpc: fc.constant('2.0'), id: fc.nat(), method, params: ANY_JSON_VALUE }))
  const headers = { authorization: `Bearer ${deployment.peerKey}` }
  const revision = control.controlNode.replica.snapshot.revision
  await fc.assert(fc.asyncProperty(url, call, async (at, body) => {
    const answer = await requestJson({ method: 'POST', url: `${at}/rpc`, body, headers, timeoutMs: WAIT_TIMEOUT_MS })
    return [200, 204, 400].includes(answer.status)
  }), { seed: SEED, numRuns: RUNS })
  t.is(control.controlNode.replica.snapshot.revision, revision)
  t.true(await isServing())
})

test.serial('peer calls with a wrong key are refused', async t => {
  const answer = await requestJson({ method: 'POST', url: `${deployment.vms[0].router.peerUrl}/rpc`, body: { jsonrpc: '2.0', id: 1, method: 'router.figures' }, headers: { authorization: 'Bearer wrong' }, timeoutMs: WAIT_TIMEOUT_MS })
  t.is(answer.status, 401)
})

test('random resource files throw only CliError or ResourceInvalidError', t => {
  fc.assert(fc.property(fc.oneof(fc.string(), ANY_JSON_VALUE.map(value => JSON.stringify(value))), text => {
    try {
      parseResourceText('file.yaml', text).forEach(parseResource)
    } catch (error) {
      return error instanceof CliError || error instanceof ResourceInvalidError
    }
    return true
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})
