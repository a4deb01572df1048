import net from 'node:net'
import test from 'ava'
import { Attempt } from '../endpoints/attempt.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { EndpointAgent } from '../endpoints/endpointAgent.ts'
import type { EndpointPort } from '../ports/endpointPort.ts'

// Guards against a request that its VM has cancelled and that still reaches the endpoint when a partition heals: only a reset drops the bytes held up.
test('an attempt that is cancelled without a response resets its connection', async t => {
  const server = net.createServer()
  const ended = new Promise<string>(resolve => server.once('connection', socket => {
    socket.once('error', error => resolve((error as NodeJS.ErrnoException).code ?? ''))
    socket.once('end', () => resolve('end'))
    socket.resume()
  }))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const { port } = server.address() as net.AddressInfo
  const agent = new EndpointAgent()
  const attempt = new Attempt({} as EndpointPort, agent, { method: 'GET', target: '/', address: `127.0.0.1:${port}`, headers: ['Host', 'h'], body: { type: 'none' }, requestId: 'r', isRelayed: false })
  await new Promise(resolve => server.once('connection', socket => socket.once('data', resolve)))
  attempt.cancel(LOSS_REASON.cancelled)
  t.is(await ended, 'ECONNRESET')
  const outcome = await attempt.outcome
  t.is(outcome.type === 'lost' && outcome.loss, LOSS_REASON.cancelled)
})
