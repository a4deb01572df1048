import { once } from 'node:events'
import net from 'node:net'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { CONNECTION_END, probeConnectionEnd, sleep } from '../index.ts'

const TEXT = Array.from({ length: 40_000 }, (_, n) => `${n},`).join('')

/** Time within which bytes and an end arrive, in milliseconds. */
const ARRIVAL_MS = 100

/** Opens a connection that is not read; resolves to both of its sides. */
async function openPaused (t: ExecutionContext): Promise<{ peer: net.Socket, socket: net.Socket }> {
  const server = net.createServer({ pauseOnConnect: true, allowHalfOpen: true })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const peer = net.connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {})
  const [socket] = await once(server, 'connection') as [net.Socket]
  socket.on('error', () => {})
  t.teardown(() => {
    for (const one of [peer, socket]) one.destroy()
    server.close()
  })
  return { peer, socket }
}

// Guards against bytes that get lost or out of order when a connection is read ahead, and against a read without a bound.
test('an end behind unread bytes shows within the bound, and the bytes are read whole afterwards', async t => {
  const { peer, socket } = await openPaused(t)
  t.is(probeConnectionEnd(socket, TEXT.length), null)
  peer.end(TEXT)
  await sleep(ARRIVAL_MS)
  t.is(probeConnectionEnd(socket, 100_000), null)
  t.is(socket.readableLength, 100_000)
  t.is(probeConnectionEnd(socket, TEXT.length), null)
  t.is(probeConnectionEnd(socket, TEXT.length + 1), CONNECTION_END.closed)
  t.is(socket.readableLength, TEXT.length)
  t.is(Buffer.concat(await socket.toArray()).toString(), TEXT)
})

// Guards against a reset that hides behind more bytes than are read ahead.
test('a reset shows behind any number of unread bytes', async t => {
  const { peer, socket } = await openPaused(t)
  peer.write(TEXT)
  await sleep(ARRIVAL_MS)
  t.is(probeConnectionEnd(socket, 20_000), null)
  peer.resetAndDestroy()
  await sleep(ARRIVAL_MS)
  t.is(probeConnectionEnd(socket, 20_000), CONNECTION_END.reset)
  t.is(socket.readableLength, 20_000)
})
