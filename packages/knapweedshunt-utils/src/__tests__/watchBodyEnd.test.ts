import http from 'node:http'
import net from 'node:net'
import test from 'ava'
import { sleep, watchBodyEnd } from '../index.ts'
import type { ConnectionEnd } from '../index.ts'

const READ_DELAY_MS = 100

// Guards against a response without a body that counts as broken off, since its connection is reset before it is read.
test('a response without a body by its status does not end with its connection', async t => {
  const server = net.createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write('HTTP/1.1 204 No Content\r\n\r\n')
      socket.resetAndDestroy()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.close() })
  const ends: ConnectionEnd[] = []
  const request = http.get({ host: '127.0.0.1', port: (server.address() as net.AddressInfo).port, agent: false })
  request.on('error', () => {}) // The reset may be reported to the request too.
  const response = await new Promise<http.IncomingMessage>(resolve => request.once('response', message => {
    watchBodyEnd(message, end => ends.push(end))
    resolve(message)
  }))
  await sleep(READ_DELAY_MS)
  t.true(response.complete)
  t.deepEqual(ends, [])
})
