import { call } from '../stand-ins/caller.mjs'
import { Deployment, HAS_TROUBLE, HOST, KEY } from '../stand-ins/deployment.mjs'
import { sleep } from '../stand-ins/http.mjs'

const EVENT_COUNT = 40
const EVENT_INTERVAL_MS = 60
/** One of five machines is the largest share that the site file kills. */
const VMS = 5
const REQUESTS = 10
const ROUNDS = 3

const deployment = new Deployment()
const events = Array.from({ length: EVENT_COUNT }, (_, i) => `id: ${i + 1}\ndata: token ${i + 1}\n\n`)

/** Streams its events without a length and without chunks: the answer ends with its channel. */
function serve (request, response) {
  const id = request.headers['request-id']
  request.resume()
  deployment.log(`server runs ${id}`)
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
  response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Request-Id': id, 'Response-Stamp': `stamp-${id}` })
  let sent = 0
  const timer = setInterval(() => {
    if (response.destroyed) return clearInterval(timer)
    response.write(events[sent++])
    if (sent < EVENT_COUNT) return
    clearInterval(timer)
    response.end()
    deployment.log(`server has sent the whole answer to ${id}`)
  }, EVENT_INTERVAL_MS)
}

await deployment.start({
  routes: [{ name: 'notes', prefix: '/notes/', kind: 'streaming', service: 'lm-pool', gap_aim_ms: 400 }],
  services: [{ name: 'lm-pool' }]
})
await deployment.addServer('i-1', 'lm-pool', serve, { slots: 16 })
await deployment.addServer('i-2', 'lm-pool', serve, { slots: 16 })
const vms = []
for (let i = 1; i <= VMS; i++) vms.push(await deployment.addVm(`front-${i}`))
await deployment.waitUntilReady()

const results = []
for (let round = 1; round <= ROUNDS; round++) {
  const vm = vms[0]
  const calls = Array.from({ length: REQUESTS }, (_, i) => ({ id: `r${round}-${i}`, vm: vms[i % VMS] }))
  const answers = calls.map(async ({ id, vm }) => {
    deployment.log(`caller sends ${id} to ${vm.name}`)
    const answer = await call({ address: vm.front, method: 'POST', path: '/notes/1', host: HOST, headers: { 'Request-Id': id, Credential: KEY, 'Deadline-Ms': 15_000 }, body: `note ${id}` })
    results.push({ id, ...answer })
    deployment.log(`caller of ${id}: status ${answer.status}, stamp ${answer.headers['response-stamp']}, ${answer.headers['transfer-encoding'] ?? (answer.headers['content-length'] === undefined ? 'no length' : 'length')}, ${answer.body.length} of ${events.join('').length} bytes, channel ${answer.end}, ${answer.isWhole ? 'a whole answer' : 'not whole'}`)
  })
  await sleep(EVENT_COUNT * EVENT_INTERVAL_MS / 2)
  if (HAS_TROUBLE) {
    deployment.signal(vm, 'SIGKILL')
    await sleep(200)
    deployment.startProcess(vm)
  }
  await Promise.all(answers)
  await deployment.waitUntilReady()
}

const wrong = results.filter(({ status, headers, body, isWhole }) => status === 200 && headers['response-stamp'] !== undefined && isWhole && body.toString() !== events.join(''))
const served = results.filter(({ status, isWhole, body }) => status === 200 && isWhole && body.toString() === events.join(''))
deployment.log(`${results.length} requests: ${served.length} served, ${wrong.length} successes whose body is not the server's whole body`)
if (wrong.length > 0) await deployment.finish(1, 'an answer that ended early looks complete (MIXED)')
await deployment.finish(served.length >= (HAS_TROUBLE ? REQUESTS : REQUESTS * ROUNDS) ? 0 : 2, 'no answer that ended early looks complete')
