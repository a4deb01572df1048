import http from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { LARGE_READ_BYTES } from '../pacedSocket.ts'
import { ResponseAgent } from '../responseAgent.ts'

const RESPONSE_COUNT = 20
const BODY_BYTES = 300_000

/** Fetches a body slowly, so that its chunks wait while other connections read. */
async function fetchSlowly (agent: http.Agent, port: number, n: number): Promise<Buffer> {
  const response = await new Promise<http.IncomingMessage>((resolve, reject) => http.get({ host: '127.0.0.1', port, path: `/${n}`, agent }, resolve).once('error', reject))
  const chunks: Buffer[] = []
  for await (const chunk of response as AsyncIterable<Buffer>) {
    chunks.push(chunk)
    await new Promise(resolve => setImmediate(resolve))
  }
  return Buffer.concat(chunks)
}

for (const [size, options] of [['default', {}], ['large', { maxReadBytes: LARGE_READ_BYTES }]] as const) {
  // Guards against bytes of one connection that another one overwrites, as both read into one buffer.
  test(`connections that share a read buffer keep their bytes apart: ${size} reads`, async t => {
    const server = http.createServer((request, response) => response.end(Buffer.alloc(BODY_BYTES, Number(request.url?.slice(1)))))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const agent = new ResponseAgent({ keepAlive: true, ...options })
    t.teardown(() => {
      agent.destroy()
      server.close()
    })
    const { port } = server.address() as AddressInfo
    for (let round = 0; round < 2; round++) {
      const bodies = await Promise.all(Array.from({ length: RESPONSE_COUNT }, (_, n) => fetchSlowly(agent, port, n)))
      t.deepEqual(bodies.map(body => body.equals(Buffer.alloc(BODY_BYTES, body[0]))), bodies.map(() => true))
      t.deepEqual(bodies.map(body => body[0]), bodies.map((_, n) => n))
    }
  })
}
