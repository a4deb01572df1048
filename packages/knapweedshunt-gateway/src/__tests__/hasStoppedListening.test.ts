import net from 'node:net'
import type { Socket } from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { hasStoppedListening } from '../endpoints/hasStoppedListening.ts'

const TIMEOUT_MS = 1_000

async function startListener (t: ExecutionContext, onConnection: (socket: Socket, server: net.Server) => void): Promise<string> {
  const server: net.Server = net.createServer(socket => {
    socket.on('error', () => {})
    t.teardown(() => { socket.destroy() })
    onConnection(socket, server)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.close() })
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

test('a process that listens has not stopped', async t => {
  t.false(await hasStoppedListening(await startListener(t, () => {}), TIMEOUT_MS))
})

// Guards against an endpoint that counts as ended, since it closes connections beyond its limit.
for (const [title, close] of [['closes', (socket: Socket) => socket.end()], ['resets', (socket: Socket) => socket.resetAndDestroy()]] as const) {
  test(`a process that listens and ${title} further connections has not stopped`, async t => {
    t.false(await hasStoppedListening(await startListener(t, close), TIMEOUT_MS))
  })
}

test('an address at which nothing listens has stopped', async t => {
  let closed: Promise<void> | null = null
  const address = await startListener(t, (socket, server) => { closed = new Promise(resolve => { server.close(() => resolve()); socket.destroy() }) })
  await hasStoppedListening(address, TIMEOUT_MS)
  await closed
  t.true(await hasStoppedListening(address, TIMEOUT_MS))
})

// Guards against an endpoint that counts as alive as its listener outlives its connections by a moment.
test('a process whose listener ends while it is asked has stopped', async t => {
  const address = await startListener(t, (socket, server) => {
    server.close()
    socket.destroy()
  })
  t.true(await hasStoppedListening(address, TIMEOUT_MS))
})
