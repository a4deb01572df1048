import { once } from 'node:events'
import http from 'node:http'
import net from 'node:net'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { sleep, waitForArrivals } from '../index.ts'
import { limitParsing, SLICE_BYTES } from '../limitParsing.ts'

const HEAD = 'POST /tiny HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
const CHUNK = '1\r\nx\r\n'
const CHUNK_COUNT = 10_000

/** Starts a server and opens connections to it. */
async function connect (t: ExecutionContext, onRequest: http.RequestListener, count: number, server = http.createServer()): Promise<net.Socket[]> {
  server.on('request', onRequest)
  limitParsing(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const sockets = Array.from({ length: count }, () => net.connect((server.address() as AddressInfo).port, '127.0.0.1'))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  await Promise.all(sockets.map(async socket => await once(socket, 'connect')))
  while (await new Promise(resolve => server.getConnections((_error, open) => resolve(open))) !== count) await sleep(1)
  return sockets
}

// Guards against a connection whose very small chunks keep others from being read for as long as a whole read of them takes.
test('other connections are read before very many chunks of one have been', async t => {
  const count = { chunks: 0, atOther: Infinity }
  const [tiny, other] = await connect(t, (request, response) => {
    if (request.url === '/tiny') request.on('data', () => { count.chunks++ })
    else {
      count.atOther = count.chunks
      response.end()
    }
  }, 2)
  tiny.write(HEAD + CHUNK.repeat(CHUNK_COUNT))
  other.write('GET /other HTTP/1.1\r\nHost: h\r\n\r\n')
  while (count.chunks < CHUNK_COUNT) await sleep(1)
  t.true(count.atOther < CHUNK_COUNT / 2, `${count.atOther} chunks`)
})

// Guards against processor time for what a connection had sent before it was closed.
test('bytes of a connection that was closed are not parsed', async t => {
  let chunksAfterClose = 0
  const [tiny] = await connect(t, request => {
    request.socket.destroy()
    request.push = () => {
      chunksAfterClose++
      return true
    }
  }, 1)
  tiny.on('error', () => {})
  tiny.write(HEAD + CHUNK.repeat(CHUNK_COUNT))
  await once(tiny, 'close')
  t.true(chunksAfterClose <= SLICE_BYTES / CHUNK.length, `${chunksAfterClose} chunks`)
})

// Guards against a long body that is cut into small pieces and waits for other turns, so that its upload takes longer beside other work.
test('a body without chunks is parsed in large pieces', async t => {
  const count = { pieces: 0, reads: 0, bytes: 0 }
  const [socket] = await connect(t, request => {
    request.socket.on('data', () => { count.reads++ })
    request.on('data', (piece: Buffer) => {
      count.pieces++
      count.bytes += piece.length
    })
  }, 1)
  const body = Buffer.alloc(12_000_000, 'x')
  socket.write(`POST /long HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n`)
  socket.write(body)
  while (count.bytes < body.length) await sleep(1)
  t.true(count.pieces < 10 * count.reads, `${count.pieces} pieces of ${count.reads} reads`)
})

// Guards against slices that are large as they begin within a body with a length, and hold up all others with what follows it.
test('requests behind short bodies with a length are parsed in small slices', async t => {
  const REQUEST_BYTES = 100
  const REQUEST_COUNT = 640
  const perTurn = [0]
  const count = { requests: 0 }
  const [socket] = await connect(t, (_request, response) => {
    perTurn[perTurn.length - 1]++
    count.requests++
    const endMs = performance.now() + 0.1
    while (performance.now() < endMs);
    response.end()
  }, 1)
  socket.resume()
  const countTurn = () => {
    perTurn.push(0)
    if (count.requests < REQUEST_COUNT) setImmediate(countTurn)
  }
  countTurn()
  const body = 'x'.repeat(8)
  const head = `POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\nPadding: `
  // Slices of 2 kB end within a body.
  const buildRequest = (size: number) => `${head}${'x'.repeat(size - head.length - 4 - body.length)}\r\n\r\n${body}`
  socket.write(buildRequest(REQUEST_BYTES + 4) + buildRequest(REQUEST_BYTES).repeat(REQUEST_COUNT - 1))
  while (count.requests < REQUEST_COUNT) await sleep(1)
  t.true(Math.max(...perTurn) <= 2 * SLICE_BYTES / REQUEST_BYTES, `${Math.max(...perTurn)} requests`)
})

test('bodies in chunks of any size arrive whole, also at readers that pause', async t => {
  const sizes = [1, 1, 7, 60_000, 1, 300, 1, 200_000, 3]
  const parts = Array.from({ length: 6_000 }, (_, n) => String(n % 10).repeat(n % 700 === 0 ? sizes[n / 700] : 1))
  const body = parts.join('')
  const sockets = await connect(t, async (request, response) => {
    let text = ''
    for await (const chunk of request) {
      text += chunk
      if (text.length % 500 === 0) await sleep(1)
    }
    response.end(text === body ? 'whole' : 'broken')
  }, 150)
  const answers = await Promise.all(sockets.map(async socket => {
    socket.write(HEAD + parts.map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('') + '0\r\n\r\n')
    const [answer] = await once(socket, 'data') as [Buffer]
    return /whole|broken/.exec(answer.toString())?.[0]
  }))
  t.deepEqual(answers, answers.map(() => 'whole'))
})

// Guards against an assertion of Node.js that ends the process, when a connection is parsed on whose parser is paused.
test('requests behind responses that wait are not parsed until the server goes on', async t => {
  const urls: string[] = []
  let endFirst = () => {}
  const [socket] = await connect(t, (request, response) => {
    urls.push(request.url ?? '')
    if (request.url === '/first') endFirst = () => response.end()
    else response.end(request.url === '/large' ? 'x'.repeat(40_000) : '')
    if (request.url === '/paused') request.socket.resume()
  }, 1)
  socket.resume()
  const send = (...paths: string[]) => socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''))
  send('/first', '/large')
  while (urls.length < 2) await sleep(1)
  send('/paused')
  while (urls.length < 3) await sleep(1)
  const later = Array.from({ length: 500 }, (_, index) => `/${index}`)
  send(...later)
  await sleep(50)
  t.is(urls.length, 3)
  endFirst()
  while (urls.length < 3 + later.length) await sleep(1)
  t.deepEqual(urls.slice(3), later)
})

// Guards against the same assertion within one read, whose first bytes have the parser paused.
test('a body behind responses that wait arrives whole', async t => {
  const sizes: number[] = []
  const urls: string[] = []
  let endFirst = () => {}
  const [socket] = await connect(t, async (request, response) => {
    urls.push(request.url ?? '')
    if (request.url === '/first') endFirst = () => response.end()
    else if (request.url === '/large') response.end('x'.repeat(40_000))
    else {
      let size = 0
      for await (const chunk of request) size += chunk.length
      sizes.push(size)
      response.end()
    }
  }, 1)
  socket.setNoDelay(true).resume()
  // Only a read that is parsed fast is parsed in one turn.
  for (const round of Array.from({ length: 200 }, (_, index) => index + 1)) {
    socket.write('GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /large HTTP/1.1\r\nHost: h\r\n\r\n')
    while (urls.length < 3 * round - 1) await sleep(1)
    socket.write(`POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n${'x'.repeat(6_000)}`)
    while (urls.length < 3 * round) await sleep(1)
    endFirst()
    while (sizes.length < round) await sleep(1)
  }
  t.true(sizes.every(size => size === 6_000))
})

// Guards against a stop that closes connections as idle, and loses the requests on them that were read and wait to be parsed.
test('arrivals are those too that wait to be parsed', async t => {
  const server = http.createServer()
  const answered: string[] = []
  const [orders, ...tiny] = await connect(t, (request, response) => {
    if (request.url === '/tiny') return
    const endMs = performance.now() + 2
    while (performance.now() < endMs);
    answered.push(request.url ?? '')
    response.end()
  }, 25, server)
  const head = 'POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nPadding: '
  const order = head + 'x'.repeat(SLICE_BYTES - head.length - 4) + '\r\n\r\n'
  for (const socket of tiny) socket.write(HEAD + CHUNK.repeat(CHUNK_COUNT))
  orders.write(order.repeat(5))
  while (answered.length === 0) await sleep(1)
  await waitForArrivals(server)
  server.closeIdleConnections()
  t.is(answered.length, 5)
})

// Guards against a stop, and an idle timeout, that last for as long as callers send very small chunks.
test('bytes of bodies that wait to be parsed are no arrivals', async t => {
  const server = http.createServer()
  const count = { requests: 0, chunks: 0, turns: 0 }
  const tiny = await connect(t, request => {
    count.requests++
    request.on('data', () => { count.chunks++ })
  }, 20, server)
  for (const socket of tiny) socket.write(HEAD + CHUNK.repeat(CHUNK_COUNT))
  while (count.requests < tiny.length) await sleep(0)
  const countTurn = () => {
    count.turns++
    timer = setImmediate(countTurn)
  }
  let timer = setImmediate(countTurn)
  await waitForArrivals(server)
  clearImmediate(timer)
  t.true(count.turns < 10, `${count.turns} turns`)
  t.true(count.chunks < tiny.length * CHUNK_COUNT)
})
