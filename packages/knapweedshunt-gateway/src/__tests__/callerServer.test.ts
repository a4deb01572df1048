import net from 'node:net'
import { setImmediate } from 'node:timers/promises'
import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { HeldUpCallers } from '../../../knapweedshunt-utils/src/__tests__/heldUpCallers.ts'
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

// Guards against requests that get no answer because their connection became idle while the process was held up.
test.serial('requests that arrive before the idle timeout are answered, although the process is held up until after it', async t => {
  const server = new CallerServer((_request, response) => { response.end() })
  server.applyLimits({ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 0 })
  const callers = await HeldUpCallers.open({ keptCount: 30, newCount: 0, url: await server.start({ host: '127.0.0.1', port: 0 }) })
  await sleep(2_700)
  // After the hold timers run before sockets are read.
  await setImmediate()
  t.deepEqual(await callers.callWhileHeldUp(1_000), Array<string>(30).fill('200'))
  await server.closeListener()
})

test('a connection that is idle for longer than the timeout is closed', async t => {
  const server = new CallerServer((_request, response) => { response.end() })
  server.applyLimits({ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 0 })
  const address = new URL(await server.start({ host: '127.0.0.1', port: 0 }))
  const socket = net.connect(Number(address.port), address.hostname, () => socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'))
  socket.resume()
  const openedAtMs = performance.now()
  await new Promise(resolve => socket.once('close', resolve))
  t.true(performance.now() - openedAtMs >= 1_900)
  await server.closeListener()
})
