import http from 'node:http'
import net from 'node:net'
import test from 'ava'
import { limitParsing, listen, sleep } from '../index.ts'
import { SLICE_BYTES } from '../limitParsing.ts'

// Guards against a connection that is parsed on in the same turn, as its responses paused the parser and are out.
test('requests with long responses are parsed in small slices', async t => {
  const REQUEST_BYTES = 100
  const REQUEST_COUNT = 640
  const perTurn = [0]
  const count = { requests: 0 }
  const server = http.createServer((_request, response) => {
    perTurn[perTurn.length - 1]++
    count.requests++
    const endMs = performance.now() + 0.1
    while (performance.now() < endMs);
    response.end('x'.repeat(2_000))
  })
  limitParsing(server)
  const address = new URL(await listen(server, { host: '127.0.0.1', port: 0 }))
  const socket = net.connect(Number(address.port), address.hostname).resume()
  t.teardown(() => {
    socket.destroy()
    server.close()
  })
  const countTurn = () => {
    perTurn.push(0)
    if (count.requests < REQUEST_COUNT) setImmediate(countTurn)
  }
  countTurn()
  const head = 'GET / HTTP/1.1\r\nHost: h\r\nPadding: '
  socket.write(`${head}${'x'.repeat(REQUEST_BYTES - head.length - 4)}\r\n\r\n`.repeat(REQUEST_COUNT))
  while (count.requests < REQUEST_COUNT) await sleep(1)
  t.true(Math.max(...perTurn) <= 2 * SLICE_BYTES / REQUEST_BYTES, `${Math.max(...perTurn)} requests`)
})
