import { once } from 'node:events'
import http from 'node:http'
import net from 'node:net'
import test from 'ava'
import { closeOnIdleTimeout, limitParsing, listen, sleep } from '../index.ts'
import { SLICE_BYTES } from '../limitParsing.ts'

const TINY_HEAD = 'POST /tiny HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
const TINY_CONNECTIONS = 20

/** Longer than the idle timeout, and the second that Node.js adds to it, in milliseconds. */
const HOLD_UP_MS = 1_500

function holdUp (ms: number): void {
  const endMs = performance.now() + ms
  while (performance.now() < endMs);
}

// Guards against a connection that closes as idle although a request was read and waits to be parsed, which then runs without an answer.
test.serial('a request that waits to be parsed while the idle timeout passes is answered', async t => {
  const server = http.createServer({ keepAliveTimeout: 100 })
  closeOnIdleTimeout(server)
  limitParsing(server)
  const urls: string[] = []
  let idleWaitingBytes = -1
  server.on('timeout', (socket: net.Socket) => { idleWaitingBytes = socket.readableLength })
  server.on('request', (request, response) => {
    urls.push(request.url ?? '')
    if (request.url === '/first') {
      // Slow enough that what follows waits for another turn.
      holdUp(2)
      response.once('close', () => holdUp(HOLD_UP_MS)).end()
    } else if (request.url === '/second') setTimeout(() => response.end(), HOLD_UP_MS)
  })
  const address = new URL(await listen(server, { host: '127.0.0.1', port: 0 }))
  const connect = () => net.connect(Number(address.port), address.hostname)
  const tiny = Array.from({ length: TINY_CONNECTIONS }, connect)
  const caller = connect()
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  await once(caller, 'connect')
  let text = ''
  caller.on('data', bytes => { text += bytes.toString() })
  const closed = new Promise(resolve => caller.once('close', resolve))
  for (const socket of tiny) socket.write(TINY_HEAD + '1\r\nx\r\n'.repeat(10_000))
  while (urls.length < TINY_CONNECTIONS) await sleep(0)
  const head = 'GET /first HTTP/1.1\r\nHost: h\r\nPadding: '
  caller.write(`${head}${'x'.repeat(SLICE_BYTES - head.length - 4)}\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n`)
  await closed
  t.true(idleWaitingBytes > 0)
  t.is(text.match(/HTTP\/1.1 200/g)?.length, 2)
})
