import net from 'node:net'
import { Deployment, HAS_TROUBLE, HOST, KEY } from '../stand-ins/deployment.mjs'
import { sleep } from '../stand-ins/http.mjs'

const CALLERS = 24
/** More than so many closed channels break the rule. */
const ALLOWED_LOST = 3
const WORK_MS = 300
const RUN_MS = 8_000
const FAULT_AFTER_MS = 3_000
const WRONG_DIGITS = 400
/** One in so many answers of the faulty server is spoilt: the largest share on the pages is 0.05. */
const SPOILT_EVERY = 20

const deployment = new Deployment()
const ranAtSound = new Set()
const lost = []
const counts = { sent: 0, answered: 0, faulty: 0, spoilt: 0 }
const phase = { isFaulty: false, isEnding: false }

function answer (request, response, headers) {
  const id = request.headers['request-id']
  request.resume()
  setTimeout(() => response.writeHead(200, { 'Content-Type': 'text/plain', 'Request-Id': id, 'Response-Stamp': `stamp-${id}`, 'Content-Length': 4, ...headers }).end('done'), WORK_MS)
}

function serveSound (request, response) {
  const id = request.headers['request-id']
  ranAtSound.add(id)
  deployment.note(`sound server runs ${id}`)
  answer(request, response, {})
}

/** While it is faulty, spoils some of its answers: wrong bytes stand where the seconds of `Keep-Alive` should. */
function serveFaulty (request, response) {
  const isSpoilt = phase.isFaulty && ++counts.faulty % SPOILT_EVERY === 0
  if (isSpoilt) counts.spoilt++
  deployment.note(`other server runs ${request.headers['request-id']}${isSpoilt ? ', and spoils its answer' : ''}`)
  answer(request, response, isSpoilt ? { 'Keep-Alive': `timeout=${'9'.repeat(WRONG_DIGITS)}` } : {})
}

await deployment.start({
  routes: [{ name: 'orders', prefix: '/orders/', kind: 'unsafe', service: 'dispatch-app', timeout_ms: 3_000 }],
  services: [{ name: 'dispatch-app' }]
})
await deployment.addServer('i-1', 'dispatch-app', serveSound, { slots: 16 })
await deployment.addServer('i-2', 'dispatch-app', serveSound, { slots: 16 })
await deployment.addServer('i-3', 'dispatch-app', serveFaulty, { slots: 16 })
const vms = [await deployment.addVm('front-1'), await deployment.addVm('front-2')]
await deployment.waitUntilReady()
for (const { name, process: child } of vms) child.once('exit', (code, signal) => { if (!phase.isEnding) deployment.log(`the process of ${name} ends by itself: ${code ?? signal}`) })

/** Sends orders one after the other on a kept channel until the channel is closed. */
function runCaller (caller) {
  const vm = vms[caller % vms.length]
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
      counts.answered++
      deployment.note(`caller ${caller}: ${id} is answered ${text.slice(9, 12)}`)
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

const callers = Array.from({ length: CALLERS }, (_, caller) => runCaller(caller))
await sleep(FAULT_AFTER_MS)
if (HAS_TROUBLE) {
  deployment.log('i-3 begins to spoil answers')
  phase.isFaulty = true
}
await sleep(RUN_MS - FAULT_AFTER_MS)
phase.isEnding = true
await Promise.all(callers)
const accepted = lost.filter(id => ranAtSound.has(id))
deployment.log(`${counts.sent} orders: ${counts.answered} answered, ${counts.spoilt} of ${counts.faulty} of the faulty server spoilt, ${lost.length} closed without an answer, of which ${accepted.length} had been passed on to a sound server`)
await deployment.finish(accepted.length > ALLOWED_LOST ? 1 : 0, `${accepted.length} orders that were passed on to a sound server got no answer (LOST)`)
