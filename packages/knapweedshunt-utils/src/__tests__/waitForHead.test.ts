import http from 'node:http'
import net from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { HttpError, waitForHead } from '../index.ts'

const INFORMATIONAL_HEAD = 'HTTP/1.1 102 Processing\r\n\r\n'
const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'

/** Sends a request to a server that answers with these bytes and closes nothing by itself. */
async function readHead (t: ExecutionContext, bytes: string): Promise<http.IncomingMessage> {
  const server = net.createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write(bytes))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const request = http.get({ host: '127.0.0.1', port: (server.address() as net.AddressInfo).port, agent: false })
  t.teardown(() => {
    request.destroy()
    server.close()
  })
  return await waitForHead(request)
}

// Guards against an endpoint whose informational heads take the processor until the request times out.
test('informational heads without an end are given up', async t => {
  await t.throwsAsync(readHead(t, INFORMATIONAL_HEAD.repeat(65)), { instanceOf: HttpError })
})

test('a response behind some informational heads is taken', async t => {
  t.is((await readHead(t, INFORMATIONAL_HEAD.repeat(64) + RESPONSE)).statusCode, 200)
})
