import http from 'node:http'
import test from 'ava'
import { readBody, ResponseAgent, sleep, waitForHead } from '../index.ts'
import { CHUNKED_HEAD, startRawServer, writeEndlessly } from './floodServer.ts'

const ONE_BYTE_CHUNKS = '1\r\nx\r\n'.repeat(10_000)
const FLOOD_COUNT = 60

/** Longest time for which the event loop may be held up beside floods, in milliseconds. */
const MAX_HELD_UP_MS = 100

/** Bytes that a connection may take before its reader waits: what the system buffers on both sides of it. */
const MAX_TAKEN_BYTES = 16 * 1024 * 1024

// Guards against connections whose chunks of one byte take all turns of the event loop, thousands of them with each read.
test.serial('floods of small chunks leave turns to other connections', async t => {
  const { port } = await startRawServer(t, async (socket, path) => {
    socket.write(CHUNKED_HEAD)
    if (path === '/flood') return writeEndlessly(socket, ONE_BYTE_CHUNKS)
    for (let n = 0; n < 50 && !socket.destroyed; n++) {
      socket.write('5\r\ntoken\r\n')
      await sleep(20)
    }
    socket.end('0\r\n\r\n')
  })
  const agent = new ResponseAgent()
  t.teardown(() => agent.destroy())
  const floods = await Promise.all(Array.from({ length: FLOOD_COUNT }, async () => await waitForHead(http.get({ host: '127.0.0.1', port, path: '/flood', agent }))))
  for (const flood of floods) flood.on('error', () => {}).resume()
  const tokens = await waitForHead(http.get({ host: '127.0.0.1', port, path: '/tokens', agent }))
  let longestMs = 0
  let lastMs = performance.now()
  let text = ''
  for await (const part of tokens as AsyncIterable<Buffer>) {
    text += part.toString()
    longestMs = Math.max(longestMs, performance.now() - lastMs)
    lastMs = performance.now()
  }
  for (const flood of floods) flood.destroy()
  t.is(text, 'token'.repeat(50))
  t.true(longestMs < 20 + MAX_HELD_UP_MS, `${Math.round(longestMs)} ms between two tokens`)
})

// Guards against a sound stream of small chunks that never goes on, as short responses of small chunks use the time of all turns.
test.serial('short responses in small chunks leave turns to a stream of small chunks', async t => {
  const { port } = await startRawServer(t, async (socket, path) => {
    socket.write(CHUNKED_HEAD)
    if (path === '/short') {
      socket.write(`${'1\r\nx\r\n'.repeat(330)}0\r\n\r\n`)
      return
    }
    for (let n = 0; n < 50 && !socket.destroyed; n++) {
      socket.write('6\r\ntokens\r\n'.repeat(40))
      await sleep(40)
    }
    socket.write('0\r\n\r\n')
  })
  const agent = new ResponseAgent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const fetch = async (path: string) => await readBody(await waitForHead(http.get({ host: '127.0.0.1', port, path, agent })), 1024 * 1024)
  const done = new AbortController()
  const callers = Array.from({ length: 30 }, async () => { while (!done.signal.aborted) await fetch('/short') })
  const startedAtMs = performance.now()
  t.is(await fetch('/stream'), 'tokens'.repeat(2_000))
  const tookMs = performance.now() - startedAtMs
  done.abort()
  await Promise.all(callers)
  t.true(tookMs < 6_000, `${Math.round(tookMs)} ms`)
})

// Guards against slices that have grown with large parts, or with lone ones, when small parts follow.
test.serial('small parts behind others are parsed in small slices', async t => {
  const { port } = await startRawServer(t, async socket => {
    socket.write(CHUNKED_HEAD)
    for (let n = 0; n < 3; n++) {
      socket.write('5\r\ntoken\r\n')
      await sleep(20)
    }
    for (let n = 0; n < 3; n++) {
      socket.write(ONE_BYTE_CHUNKS)
      await sleep(300)
    }
    socket.end('0\r\n\r\n')
  })
  const agent = new ResponseAgent()
  t.teardown(() => agent.destroy())
  let longestMs = 0
  let lastMs = performance.now()
  const timer = setInterval(() => {
    longestMs = Math.max(longestMs, performance.now() - lastMs)
    lastMs = performance.now()
  }, 1)
  const bodies = await Promise.all(Array.from({ length: 40 }, async () => await readBody(await waitForHead(http.get({ host: '127.0.0.1', port, agent })), 1024 * 1024)))
  clearInterval(timer)
  t.deepEqual(bodies.map(({ length }) => length), Array(40).fill(30_015))
  t.true(longestMs < 2 * MAX_HELD_UP_MS, `${Math.round(longestMs)} ms`)
})

// Guards against a connection that reads on while its bytes wait for a turn, and keeps them all.
test.serial('a connection whose bytes wait is not read on', async t => {
  const { port, sockets } = await startRawServer(t, socket => {
    socket.write(CHUNKED_HEAD)
    writeEndlessly(socket, ONE_BYTE_CHUNKS)
  })
  const agent = new ResponseAgent()
  t.teardown(() => agent.destroy())
  const responses = await Promise.all(Array.from({ length: 4 }, async () => await waitForHead(http.get({ host: '127.0.0.1', port, agent }))))
  for (const response of responses) response.on('error', () => {}).resume()
  await sleep(2_000)
  const { arrayBuffers } = process.memoryUsage()
  for (const response of responses) response.destroy()
  t.true(sockets.every(({ bytesWritten }) => bytesWritten < MAX_TAKEN_BYTES), sockets.map(({ bytesWritten }) => bytesWritten).join())
  t.true(arrayBuffers < MAX_TAKEN_BYTES, `${arrayBuffers} bytes of buffers`)
})

// Guards against bytes behind a whole response that wait for their turn and reach the next request on the connection.
test.serial('bytes behind a response end its connection', async t => {
  const surplus = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong'
  const { port, sockets } = await startRawServer(t, (socket, path) => socket.write(path === '/first' ? `${CHUNKED_HEAD}${'1\r\nx\r\n'.repeat(1_000)}0\r\n\r\n${surplus.repeat(100)}` : 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright'))
  const agent = new ResponseAgent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const fetch = async (path: string) => await readBody(await waitForHead(http.get({ host: '127.0.0.1', port, path, agent })), 1024 * 1024)
  for (let n = 0; n < 20; n++) {
    t.is(await fetch('/first'), 'x'.repeat(1_000))
    t.is(await fetch('/second'), 'right')
  }
  t.true(sockets.length >= 20)
})

// Guards against sound connections that are opened anew for each request.
test.serial('a connection whose response came in small chunks is used again', async t => {
  const { port, sockets } = await startRawServer(t, socket => socket.write(`${CHUNKED_HEAD}${'1\r\nx\r\n'.repeat(5_000)}0\r\n\r\n`))
  const agent = new ResponseAgent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  for (let n = 0; n < 20; n++) {
    t.is(await readBody(await waitForHead(http.get({ host: '127.0.0.1', port, agent })), 1024 * 1024), 'x'.repeat(5_000))
    await new Promise(resolve => setImmediate(resolve))
  }
  t.is(sockets.length, 1)
})
