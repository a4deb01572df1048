import { once } from 'node:events'
import http from 'node:http'
import net from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { limitParsing, listen, sleep } from '../index.ts'

async function connect (t: ExecutionContext, server: http.Server, allowHalfOpen: boolean): Promise<net.Socket> {
  limitParsing(server)
  const address = new URL(await listen(server, { host: '127.0.0.1', port: 0 }))
  const socket = net.connect({ host: address.hostname, port: Number(address.port), allowHalfOpen })
  t.teardown(() => {
    socket.destroy()
    server.close()
  })
  await once(socket, 'connect')
  return socket
}

// Guards against an error response that is cut off, as the listener is called again for each slice behind the error.
test('a request that cannot be parsed is reported once', async t => {
  const server = http.createServer()
  let errors = 0
  server.on('clientError', (_error, socket) => {
    errors++
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\n\r\n')
  })
  const socket = await connect(t, server, false)
  socket.write('BAD\r\n\r\n' + 'x'.repeat(20_000))
  await sleep(100)
  t.is(errors, 1)
})

// Guards against requests that are answered at once and get no answer, as the end of their connection is handled with their last slice.
test('requests of a connection that is closed behind them are answered', async t => {
  const REQUEST_COUNT = 100
  const server = http.createServer((request, response) => {
    const endMs = performance.now() + 1
    while (performance.now() < endMs);
    response.end()
  })
  const socket = await connect(t, server, true)
  let text = ''
  socket.on('data', bytes => { text += bytes.toString() })
  socket.end(`GET / HTTP/1.1\r\nHost: h\r\nPadding: ${'x'.repeat(400)}\r\n\r\n`.repeat(REQUEST_COUNT))
  await once(socket, 'end')
  t.is(text.match(/HTTP\/1.1 200/g)?.length, REQUEST_COUNT)
})
