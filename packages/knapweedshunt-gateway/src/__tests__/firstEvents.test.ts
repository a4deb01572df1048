import { once } from 'node:events'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { PassThrough } from 'node:stream'
import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { EventMemory } from '../flow/eventMemory.ts'
import { EventTurns } from '../flow/eventTurns.ts'
import { ForwardingTurns } from '../flow/forwardingTurns.ts'
import { StreamRelay } from '../flow/streamRelay.ts'
import { CallerResponse } from '../shared/callerResponse.ts'

const EVENT = 'id: 1\ndata: t1\n\n'

// Guards against callers that get no answer at all, as the stream broke off while its first event waited for the store.
test('the first event of a stream that is cut while it waits reaches the caller before the response is aborted', async t => {
  const server = http.createServer((_request, response) => {
    const callerResponse = new CallerResponse(response)
    callerResponse.tryBegin({ status: 200, message: '', headers: ['Content-Type', 'text/event-stream'], closesConnection: false })
    const stream = new PassThrough()
    stream.write(EVENT)
    const relay = new StreamRelay(callerResponse, true, null, new EventMemory(), new EventTurns(), new ForwardingTurns())
    const onFirstEvent = async () => {
      stream.destroy(new Error('cut'))
      await sleep(20)
    }
    relay.forward(stream as unknown as http.IncomingMessage, { stallTimeoutMs: null, onStalled: () => {}, onChunk: () => {}, onNewEvents: () => {}, onHeldTooMuch: () => {}, onFirstEvent }).then(result => {
      t.deepEqual(result, { type: 'cut', reason: 'cut' })
      callerResponse.abort()
    }, () => t.fail())
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const response = await new Promise<http.IncomingMessage>((resolve, reject) => http.get({ host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent: false }, resolve).once('error', reject))
  const [chunk] = await once(response, 'data') as [Buffer]
  t.is(chunk.toString(), EVENT)
  response.on('error', () => {})
  server.close()
})
