import test from 'ava'
import http from 'node:http'
import net from 'node:net'
import type { Socket } from 'node:net'
import { readBody, waitForHead } from '../index.ts'

/** More than the buffers of a connection take while nobody reads. */
const LONG_BODY = Buffer.alloc(24_000_000)

const ENDS: Record<string, (socket: Socket, text: string) => void> = {
  closed: (socket, text) => { socket.end(text) },
  'closed, then destroyed': (socket, text) => { socket.end(text, () => socket.destroy()) },
  'closed, then reset': (socket, text) => { socket.end(text, () => socket.resetAndDestroy()) }
}

for (const [name, end] of Object.entries(ENDS)) {
  // Guards against a regular end that counts as a reset since bytes of the request were still being written.
  test(`an answer without a length that comes before its request was read is whole: ${name}`, async t => {
    const server = net.createServer({ allowHalfOpen: true }, socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.pause()
        setTimeout(() => end(socket, 'HTTP/1.1 200 OK\r\n\r\nwhole'), 100)
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    t.teardown(() => { server.close() })
    const request = http.request({ host: '127.0.0.1', port: (server.address() as net.AddressInfo).port, method: 'POST', agent: false })
    t.teardown(() => { request.destroy() })
    request.end(LONG_BODY)
    const body = await readBody(await waitForHead(request), 100).catch(({ name }: Error) => name)
    t.is(body, 'whole')
  })
}
