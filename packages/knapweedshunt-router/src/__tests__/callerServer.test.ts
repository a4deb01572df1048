import net from 'node:net'
import test from 'ava'
import { createLogger } from 'knapweedshunt-logger'
import { sleep } from 'knapweedshunt-utils'
import { CallerServer } from '../callerServer.ts'

// Guards against a request that runs in a drain behind one whose response closes the connection, and ends without an answer.
for (const [title, delaysMs] of Object.entries({ 'in their order': [200, 300, 400], 'out of their order': [400, 0, 0] })) {
  test(`requests that are sent one behind the other in a drain are answered: done ${title}`, async t => {
    const served: string[] = []
    const server = new CallerServer({
      requestTimeoutMs: 5_000,
      drainGraceMs: 1_000,
      log: createLogger('test'),
      serve: async ({ url = '' }, response) => {
        served.push(url)
        await sleep(delaysMs[Number(url.slice(1))])
        response.end(`answer ${url}`)
      }
    })
    const address = new URL(await server.listen({ host: '127.0.0.1', port: 0 }))
    const socket = net.connect({ host: address.hostname, port: Number(address.port), noDelay: true })
    await new Promise<void>(resolve => socket.once('connect', () => resolve()))
    let text = ''
    socket.on('data', chunk => { text += chunk.toString() })
    const closed = new Promise(resolve => socket.once('close', resolve))
    await sleep(50)
    const stopped = server.stop()
    for (const n of delaysMs.keys()) {
      socket.write(`GET /${n} HTTP/1.1\r\nHost: h\r\n\r\n`)
      await sleep(50)
    }
    await closed
    await stopped
    t.deepEqual(text.match(/answer \/\d/g), served.map(url => `answer ${url}`))
    t.is(served.length, delaysMs.length)
  })
}
