import net from 'node:net'
import test from 'ava'
import { CallerServer } from '../callers/callerServer.ts'
import { CallerResponse } from '../shared/callerResponse.ts'

const EVENT = 'id: 1\ndata: t1\n\n'

const START = { status: 200, message: '', headers: ['Content-Type', 'text/event-stream'], closesConnection: false }

/** Sends one request and resolves to all that its caller receives until the connection ends. */
async function receive (version: string, answer: (response: CallerResponse) => void): Promise<string> {
  const server = new CallerServer((_request, response) => answer(new CallerResponse(response)))
  const { hostname, port } = new URL(await server.start({ host: '127.0.0.1', port: 0 }))
  const socket = net.connect(Number(port), hostname, () => socket.write(`GET / HTTP/${version}\r\nHost: h\r\n\r\n`))
  let text = ''
  socket.on('data', chunk => { text += chunk.toString() }).on('error', () => {})
  await new Promise(resolve => socket.once('close', resolve))
  await server.closeListener()
  return text
}

for (const version of ['1.0', '1.1']) {
  // Guards against callers that get no answer at all, as the response was aborted in the turn in which its first bytes were written.
  test(`what was written of a response is sent before it is aborted: HTTP/${version}`, async t => {
    const text = await receive(version, response => {
      response.tryPrepare(START)
      response.write(Buffer.from(EVENT))
      response.abort()
    })
    t.true(text.startsWith('HTTP/1.1 200 OK\r\n'), text)
    t.true(text.includes(EVENT), text)
    t.false(text.endsWith('0\r\n\r\n'), text)
  })
}

/** Writes that a response takes before its caller must have read some; 64 KiB of small writes cost many times as much. */
const MAX_SMALL_WRITES = 100
const ROUND_COUNT = 20
const ONE_BYTE = Buffer.from('x')

/** Writes a byte at a time until the response is full; returns the number of writes. */
function fill (response: CallerResponse): number {
  let count = 1
  while (response.write(ONE_BYTE)) count++
  return count
}

// Guards against a caller that does not read a stream of tiny parts: each costs several objects, which its bytes do not show.
test('a response takes few small writes at a time, and goes on once they are sent', async t => {
  const counts: number[] = []
  const text = await receive('1.0', async response => {
    response.tryBegin(START)
    for (let round = 0; round < ROUND_COUNT; round++) {
      counts.push(fill(response))
      t.true(await response.waitDrain(new AbortController().signal))
    }
    response.end()
  })
  t.true(Math.max(...counts) < MAX_SMALL_WRITES, counts.join())
  t.is(text.split('\r\n\r\n')[1], 'x'.repeat(counts.reduce((sum, count) => sum + count, 0)))
})

// Guards against the same behind a response that the caller waits for.
test('a response that waits for its turn takes few small writes', async t => {
  const responses = new Map<string, CallerResponse>()
  const server = new CallerServer((request, response) => { responses.set(request.url ?? '', new CallerResponse(response)) })
  const { hostname, port } = new URL(await server.start({ host: '127.0.0.1', port: 0 }))
  const socket = net.connect(Number(port), hostname, () => socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n'))
  socket.on('error', () => {}).resume()
  while (responses.size < 2) await new Promise(resolve => setImmediate(resolve))
  const [ahead, held] = [responses.get('/1')!, responses.get('/2')!]
  held.tryBegin(START)
  const count = fill(held)
  t.true(count < MAX_SMALL_WRITES, `${count} writes`)
  const drained = held.waitDrain(new AbortController().signal)
  ahead.tryBegin(START)
  ahead.end()
  t.true(await drained)
  held.end()
  socket.destroy()
  await server.closeListener()
})
