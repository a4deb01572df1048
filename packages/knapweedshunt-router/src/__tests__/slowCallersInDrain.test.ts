import net from 'node:net'
import test from 'ava'
import { createLogger } from 'knapweedshunt-logger'
import { sleep } from 'knapweedshunt-utils'
import { CallerServer } from '../callerServer.ts'

/** More than the buffers of a connection hold, in bytes. */
const BODY_BYTES = 16_000_000

// Guards against a connection that counts as idle in a drain as soon as its response has ended, while bytes wait for a caller that reads slowly.
test('a response that its caller reads slowly is whole when the server stops', async t => {
  const server = new CallerServer({
    requestTimeoutMs: 5_000,
    drainGraceMs: 0,
    log: createLogger('test'),
    serve: async (_message, response) => {
      response.setHeader('content-length', BODY_BYTES).end(Buffer.alloc(BODY_BYTES))
      await new Promise(resolve => response.once('close', resolve))
    }
  })
  const address = new URL(await server.listen({ host: '127.0.0.1', port: 0 }))
  const socket = net.connect(Number(address.port), address.hostname, () => socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'))
  let receivedBytes = 0
  socket.on('data', chunk => { receivedBytes += chunk.length })
  socket.on('error', () => {})
  const closed = new Promise(resolve => socket.once('close', resolve))
  socket.pause()
  await sleep(100)
  const stopped = server.stop()
  await sleep(200)
  socket.resume()
  await closed
  await stopped
  t.true(receivedBytes > BODY_BYTES, `${receivedBytes} bytes`)
})
