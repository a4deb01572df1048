import http from 'node:http'
import net from 'node:net'
import test from 'ava'
import { closeServer, listen } from '../index.ts'
import { HeldUpCallers } from './heldUpCallers.ts'

const COUNT = 30

for (const [title, calls] of Object.entries({
  'kept connections': { keptCount: COUNT, newCount: 0 },
  'new connections': { keptCount: 0, newCount: COUNT }
})) {
  // Guards against requests that are reset unread because the server closes first after its process was held up.
  test.serial(`requests that arrived before the server closes are answered: ${title}`, async t => {
    const server = http.createServer((_request, response) => { response.end() })
    const callers = await HeldUpCallers.open({ ...calls, url: await listen(server, { host: '127.0.0.1', port: 0 }) })
    const outcomes = callers.callWhileHeldUp(300)
    const closed = closeServer(server)
    t.deepEqual((await outcomes).filter(outcome => outcome !== '200'), [])
    await closed
  })
}

// Guards against a server that stays open for a caller whose request does not end.
test('a server closes all connections once its signal aborts', async t => {
  const server = http.createServer(() => t.fail())
  const address = new URL(await listen(server, { host: '127.0.0.1', port: 0 }))
  const socket = net.connect(Number(address.port), address.hostname, () => socket.write('GET / HTTP/1.1\r\n'))
  const closed = new Promise(resolve => socket.once('close', resolve))
  socket.on('error', () => {})
  const connection = await new Promise<net.Socket>(resolve => server.once('connection', resolve))
  await new Promise(resolve => setTimeout(resolve, 100))
  const stop = new AbortController()
  const serverClosed = closeServer(server, stop.signal)
  await new Promise(resolve => setTimeout(resolve, 100))
  t.false(connection.destroyed)
  stop.abort()
  await serverClosed
  await closed
})
