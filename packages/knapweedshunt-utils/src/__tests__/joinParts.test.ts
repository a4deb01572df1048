import http from 'node:http'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'
import { limitResponse, readBody, ResponseAgent, sleep, waitForHead } from '../index.ts'
import { CHUNKED_HEAD, startRawServer } from './floodServer.ts'

const BODY_BYTES = 20_000

function encodeChunks (text: string, chunkBytes: number): string {
  const chunks: string[] = []
  for (let start = 0; start < text.length; start += chunkBytes) {
    const chunk = text.slice(start, start + chunkBytes)
    chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`)
  }
  return chunks.join('')
}

async function fetchHead (t: ExecutionContext, port: number, agent: http.Agent = new ResponseAgent()): Promise<http.IncomingMessage> {
  t.teardown(() => agent.destroy())
  return await waitForHead(http.get({ host: '127.0.0.1', port, agent }))
}

for (const [name, agent] of [['paced', new ResponseAgent()], ['other', new http.Agent()]] as const) {
  // Guards against a body that costs a buffer and an object for each of its chunks, hundreds of times its bytes.
  test(`the chunks of one read reach the reader as one: ${name} connections`, async t => {
    const { port } = await startRawServer(t, socket => socket.write(`${CHUNKED_HEAD}${encodeChunks('x'.repeat(BODY_BYTES), 1)}0\r\n\r\n`))
    let parts = 0
    let bytes = 0
    for await (const part of await fetchHead(t, port, agent) as AsyncIterable<Buffer>) {
      parts++
      bytes += part.length
    }
    t.is(bytes, BODY_BYTES)
    t.true(parts < BODY_BYTES / 100, `${parts} parts`)
  })
}

// Guards against tokens of a stream that wait for others.
test('a chunk that arrives by itself reaches the reader at once', async t => {
  const { port } = await startRawServer(t, async socket => {
    socket.write(CHUNKED_HEAD)
    for (let n = 0; n < 20; n++) {
      await sleep(20)
      socket.write('5\r\ntoken\r\n')
    }
    socket.write('0\r\n\r\n')
  })
  let parts = 0
  for await (const part of await fetchHead(t, port) as AsyncIterable<Buffer>) {
    t.is(part.toString(), 'token')
    parts++
  }
  t.is(parts, 20)
})

// Guards against chunks that each take a packet: what a reader that lags behind has not taken costs an object for each of them.
test('the chunks that arrive while the reader lags behind reach it as few', async t => {
  let settle = () => {}
  const sent = new Promise<void>(resolve => { settle = resolve })
  const { port } = await startRawServer(t, async socket => {
    socket.write(CHUNKED_HEAD)
    for (let n = 0; n < 500; n++) {
      socket.write('1\r\nx\r\n')
      await new Promise(resolve => setImmediate(resolve))
    }
    socket.write('0\r\n\r\n')
    settle()
  })
  const response = await fetchHead(t, port)
  const sizes: number[] = []
  response.on('data', (part: Buffer) => sizes.push(part.length))
  response.pause()
  await sent
  await sleep(100)
  response.resume()
  await new Promise(resolve => response.once('end', resolve))
  t.is(sizes.reduce((sum, size) => sum + size, 0), 500)
  t.true(sizes.length <= 5, `${sizes.length} parts`)
})

// Guards against a sound body that counts as framing without an end, as its reader lags behind and its chunks are joined meanwhile.
test('small chunks are progress also while the reader lags behind', async t => {
  const { port } = await startRawServer(t, socket => socket.write(`${CHUNKED_HEAD}${encodeChunks('x'.repeat(60_000), 1)}0\r\n\r\n`))
  const response = await fetchHead(t, port)
  await sleep(300)
  t.is(await readBody(response, 1024 * 1024), 'x'.repeat(60_000))
})

const READERS: Record<string, (response: http.IncomingMessage) => Promise<string>> = {
  iterator: async response => {
    const parts: Buffer[] = []
    for await (const part of response as AsyncIterable<Buffer>) {
      parts.push(part)
      if (parts.length % 3 === 0) await sleep(1)
    }
    return Buffer.concat(parts).toString()
  },
  listener: async response => {
    let text = ''
    response.on('data', (part: Buffer) => {
      text += part.toString()
      response.pause()
      setImmediate(() => response.resume())
    })
    await new Promise(resolve => response.once('end', resolve))
    return text
  },
  reads: async response => {
    let text = ''
    response.on('readable', () => { for (let part = response.read() as Buffer | null; part !== null; part = response.read() as Buffer | null) text += part.toString() })
    await new Promise(resolve => response.once('end', resolve))
    return text
  },
  decoded: async response => {
    response.setEncoding('utf8')
    let text = ''
    for await (const part of response) text += part as string
    return text
  },
  body: async response => await readBody(response, 1024 * 1024)
}

for (const [name, readAll] of Object.entries(READERS)) {
  // Guards against bytes that are lost, doubled or out of order where parts are joined, and against a reader that waits for ever.
  test(`a body is read whole, however it is cut: ${name}`, async t => {
    const agent = new ResponseAgent({ keepAlive: true })
    t.teardown(() => agent.destroy())
    let pieces: string[] = []
    const { port } = await startRawServer(t, async socket => {
      for (const piece of pieces) {
        socket.write(piece)
        await new Promise(resolve => setImmediate(resolve))
      }
    })
    await fc.assert(fc.asyncProperty(fc.integer({ min: 0, max: 40_000 }), fc.constantFrom(1, 3, 40, 3_000, 50_000), fc.array(fc.integer({ min: 1, max: 30_000 }), { minLength: 1, maxLength: 8 }), fc.boolean(), async (length, chunkBytes, cuts, hasLength) => {
      const text = Array.from({ length }, (_, n) => String(n % 10)).join('')
      const wire = hasLength ? `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n${text}` : `${CHUNKED_HEAD}${encodeChunks(text, chunkBytes)}0\r\n\r\n`
      pieces = []
      let start = 0
      for (const cut of cuts) {
        pieces.push(wire.slice(start, start + cut))
        start += cut
      }
      pieces.push(wire.slice(start))
      const response = await waitForHead(http.get({ host: '127.0.0.1', port, agent }))
      return await readAll(response) === text
    }), { seed: 71, numRuns: 60 })
    t.pass()
  })
}

// Guards against a client request that costs more than its bytes, as it is not bounded.
test('parts that the parser hands out are counted', async t => {
  const { port } = await startRawServer(t, socket => socket.write(`${CHUNKED_HEAD}${encodeChunks('x'.repeat(100), 1)}0\r\n\r\n`))
  const request = http.get({ host: '127.0.0.1', port, agent: new ResponseAgent() })
  let parts = 0
  limitResponse(request, error => t.fail(error.message), () => parts++)
  const response = await new Promise<http.IncomingMessage>(resolve => request.once('response', resolve))
  t.is(await readBody(response, 1_000), 'x'.repeat(100))
  t.is(parts, 100)
})
