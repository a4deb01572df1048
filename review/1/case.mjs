import net from 'node:net'
import { Deployment, HAS_TROUBLE, HOST, KEY } from '../stand-ins/deployment.mjs'
import { sleep } from '../stand-ins/http.mjs'

const CALLERS = 90
/** The rule allows none around planned work. */
const ALLOWED_LOST = 0
const MIN_WORK_MS = 60
const MAX_EXTRA_WORK_MS = 50
const CALM_MS = 2_000

const deployment = new Deployment()
const ran = new Set()
const lost = []
const unserved = []
const counts = { sent: 0, answered: 0 }
const phase = { isEnding: false }

function serve (request, response) {
  const id = request.headers['request-id']
  ran.add(id)
  deployment.note(`server runs ${id}`)
  request.resume()
  setTimeout(() => response.writeHead(200, { 'Content-Type': 'text/plain', 'Request-Id': id, 'Response-Stamp': `stamp-${id}`, 'Content-Length': 4 }).end('done'), MIN_WORK_MS + Math.random() * MAX_EXTRA_WORK_MS)
}

/** Sends orders one after the other on one channel, as long as the answers allow that; resolves when the channel is closed. */
function runChannel (caller, vm) {
  const [ip, port] = vm.front.split(':')
  return new Promise(resolve => {
    const socket = net.connect({ host: ip, port: Number(port), noDelay: true })
    let id = null
    let text = ''
    const send = () => {
      id = `order-${++counts.sent}`
      text = ''
      deployment.note(`caller ${caller} sends ${id} to ${vm.name}`)
      socket.write(`POST /orders/${caller} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${id}\r\nCredential: ${KEY}\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n`)
    }
    socket.on('connect', send)
    socket.on('data', chunk => {
      text += chunk.toString('latin1')
      const headEnd = text.indexOf('\r\n\r\n')
      if (headEnd === -1 || text.length < headEnd + 4 + Number(/^content-length: (\d+)/mi.exec(text)?.[1])) return
      deployment.note(`caller ${caller}: ${id} is answered ${text.slice(9, 12)}, connection ${/^connection: ([^\r]*)/mi.exec(text)?.[1]}`)
      if (text.startsWith('HTTP/1.1 200')) counts.answered++
      else unserved.push(id)
      id = null
      if (phase.isEnding || /^connection: close/mi.test(text)) return socket.end()
      send()
    })
    socket.on('error', () => {})
    socket.on('close', () => {
      if (id !== null) {
        deployment.note(`caller ${caller}: the channel of ${id} is closed without an answer`)
        lost.push(id)
      }
      resolve()
    })
  })
}

/** Consumers are led to a VM that is ready. */
async function runCaller (caller, vms) {
  await sleep(Math.random() * 300)
  for (let turn = caller; !phase.isEnding; turn++) {
    const vm = vms[turn % vms.length]
    if (await deployment.isReady(vm)) await runChannel(caller, vm)
    else await sleep(50)
  }
}

await deployment.start({
  routes: [{ name: 'orders', prefix: '/orders/', kind: 'unsafe', service: 'dispatch-app', timeout_ms: 3_000 }],
  services: [{ name: 'dispatch-app', max_conns: 400 }]
})
await deployment.addServer('i-1', 'dispatch-app', serve, { slots: 64 })
await deployment.addServer('i-2', 'dispatch-app', serve, { slots: 64 })
const vms = [await deployment.addVm('front-1'), await deployment.addVm('front-2'), await deployment.addVm('front-3')]
await deployment.waitUntilReady()

const callers = Array.from({ length: CALLERS }, (_, caller) => runCaller(caller, vms))
await sleep(CALM_MS)
if (HAS_TROUBLE) {
  // One machine after the other is stopped and started again.
  for (const vm of vms) {
    deployment.signal(vm, 'SIGTERM')
    while (vm.exit === null) await sleep(50)
    deployment.log(`${vm.name} has ended with ${vm.exit}`)
    deployment.startProcess(vm)
    while (!await deployment.isReady(vm)) await sleep(50)
    await sleep(CALM_MS)
  }
} else await sleep(5 * CALM_MS)
phase.isEnding = true
await Promise.all(callers)
await sleep(500)

const accepted = lost.filter(id => ran.has(id))
for (const id of accepted) deployment.log(`${id} ran, and its channel was closed without an answer`)
deployment.log(`${counts.sent} orders sent on kept channels: ${counts.answered} answered 200, ${unserved.length} answered otherwise, ${lost.length} closed without an answer, of which ${accepted.length} had been passed on and ran`)
await deployment.finish(accepted.length > ALLOWED_LOST ? 1 : counts.answered === 0 ? 2 : 0, `${accepted.length} orders that a machine had passed on got no answer (LOST)`)
