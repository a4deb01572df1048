import test from 'ava'
import { once } from 'node:events'
import http from 'node:http'
import net from 'node:net'
import type { DataPath } from '../dataPath.ts'
import { serveCaller } from '../serveCaller.ts'

// Guards against an error after a response has begun that ends the process, as a second head cannot be written, or leaves the caller with a response that does not end.
test('an error after a response has begun breaks it off', async t => {
  const server = http.createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const caller = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
  t.teardown(() => caller.destroy())
  const received: Buffer[] = []
  caller.on('data', bytes => received.push(bytes))
  caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  const [message, response] = await once(server, 'request') as [http.IncomingMessage, http.ServerResponse]
  const dataPath = {
    get resourceIndex () {
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      response.write('data: half\n\n')
      throw new Error('the platform cannot be reached')
    },
    log: { error () {} }
  }
  const closed = once(caller, 'close')
  await t.notThrowsAsync(serveCaller(dataPath as unknown as DataPath, 1_000, message, response))
  if (response.closed || response.destroyed) await closed
  t.true(response.destroyed)
  t.false(Buffer.concat(received).toString().endsWith('0\r\n\r\n'))
})
