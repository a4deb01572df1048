import net from 'node:net'
import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { CallerServer } from '../callers/callerServer.ts'
import { CallerResponse } from '../shared/callerResponse.ts'

/** More than the buffers of a connection hold, in bytes. */
const BODY_BYTES = 16_000_000

// Guards against a connection that counts as idle as soon as its response has ended, while bytes wait for a caller that reads slowly.
for (const [title, endResponse] of [
  ['in one part', (response: CallerResponse, body: Buffer) => response.end(body)],
  ['in parts', (response: CallerResponse, body: Buffer) => {
    response.write(body)
    response.end()
  }]
] as const) {
  test(`a response ${title} that its caller reads slowly is whole when idle connections are closed`, async t => {
    let markEnded = () => {}
    const ended = new Promise<void>(resolve => { markEnded = resolve })
    const server = new CallerServer((_request, response) => {
      const callerResponse = new CallerResponse(response)
      callerResponse.tryBegin({ status: 200, message: '', headers: ['Content-Length', String(BODY_BYTES)], closesConnection: false })
      endResponse(callerResponse, Buffer.alloc(BODY_BYTES))
      markEnded()
    })
    const address = new URL(await server.start({ host: '127.0.0.1', port: 0 }))
    const socket = net.connect(Number(address.port), address.hostname, () => socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'))
    let receivedBytes = 0
    socket.on('data', chunk => { receivedBytes += chunk.length })
    socket.on('error', () => {})
    socket.pause()
    await ended
    t.is(server.pendingCount, 1)
    server.disableKeepAlive()
    await server.closeListener()
    await server.closeIdleConnections()
    socket.resume()
    while (server.pendingCount > 0) {
      await sleep(5)
      await server.closeIdleConnections()
    }
    if (!socket.closed) await new Promise(resolve => socket.once('close', resolve))
    t.true(receivedBytes > BODY_BYTES)
  })
}
