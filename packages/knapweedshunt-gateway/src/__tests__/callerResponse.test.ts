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
