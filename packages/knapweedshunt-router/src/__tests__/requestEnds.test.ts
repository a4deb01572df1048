import test from 'ava'
import { once } from 'node:events'
import http from 'node:http'
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { runAdmitted } from '../runAdmitted.ts'
import { DataPathHarness } from './dataPathHarness.ts'

const MAX_END_MS = 1_000

// Guards against work for a caller that left while its request was read and its origin determined: the response does not close a second time.
test('a request whose caller has left before it is admitted is not sent', async t => {
  const harness = new DataPathHarness(true)
  t.teardown(() => harness.path.close())
  const server = http.createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const caller = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
  caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  const [, response] = await once(server, 'request') as [http.IncomingMessage, http.ServerResponse]
  caller.destroy()
  await once(response, 'close')
  const running = runAdmitted(harness.path, harness.request, response, harness.sink, null).catch(() => {})
  await Promise.race([running, sleep(MAX_END_MS)])
  t.is(harness.attempts.length, 0)
  t.is(harness.countLeaks(), 0)
})

// Guards against a caller that waits without an end because its answer could not be written.
test('an answer that cannot be written ends its request', async t => {
  const harness = new DataPathHarness(true)
  t.teardown(() => harness.path.close())
  harness.sink.deliverAnswer = () => { throw new RangeError('Invalid status code: 99') }
  await harness.admit()
  const running = harness.run().then(() => 'ended')
  const { latestAttempt } = harness
  t.notThrows(() => latestAttempt?.end({ type: 'answer', attempt: latestAttempt.call.attempt, answer: { status: 99, contentType: 'text/plain', body: '' } }))
  t.is(await Promise.race([running, sleep(MAX_END_MS, 'waits')]), 'ended')
  t.is(typeof harness.sink.result === 'object' && harness.sink.result.code, 'internal')
  t.is(harness.countLeaks(), 0)
})
