import http from 'node:http'
import net from 'node:net'
import { Readable } from 'node:stream'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { BoundedServer } from '../callers/boundedServer.ts'
import { CallerServer } from '../callers/callerServer.ts'

const TIMEOUT_MS = 400
const CHUNK = Buffer.alloc(64 * 1024)

/** More than the buffers of a connection hold. */
const CHUNK_COUNT = 400

const LOOPBACK = { host: '127.0.0.1', port: 0 }

/** Answers a request for `/silent` after more than the timeout, others with a large body, for `/whole` in one write. */
function handleRequest (request: http.IncomingMessage, response: http.ServerResponse): void {
  if (request.url === '/silent') setTimeout(() => response.end(), 2 * TIMEOUT_MS)
  else if (request.url === '/whole') response.end(Buffer.alloc(CHUNK_COUNT * CHUNK.length))
  else Readable.from(Array.from({ length: CHUNK_COUNT }, () => CHUNK)).on('error', () => {}).pipe(response)
}

interface StartedServer {
  url: URL
  evicted: string[]
}

async function startCallerServer (t: ExecutionContext): Promise<StartedServer> {
  const evicted: string[] = []
  const server = new CallerServer(handleRequest, { maxConnections: Infinity, maxWaitingRequests: Infinity, unreadTimeoutMs: TIMEOUT_MS, tryEndStill: () => false, onEvicted: reason => { evicted.push(reason) }, onUnaccepted () {} })
  t.teardown(async () => {
    server.closeAllConnections()
    await server.closeListener()
  })
  return { url: new URL(await server.start(LOOPBACK)), evicted }
}

async function startBoundedServer (t: ExecutionContext): Promise<StartedServer> {
  const evicted: string[] = []
  const server = new BoundedServer({}, { maxConnections: Infinity, unreadTimeoutMs: TIMEOUT_MS, onEvicted: reason => { evicted.push(reason) } }, handleRequest)
  t.teardown(async () => await server.close(AbortSignal.abort()))
  return { url: new URL(await server.start(LOOPBACK)), evicted }
}

for (const [name, start] of [['callers', startCallerServer], ['other VMs', startBoundedServer]] as const) {
  // Guards against callers that read nothing and keep a connection with a request under way without an end.
  test(`a connection whose caller reads nothing is closed after a while: ${name}`, async t => {
    const { url, evicted } = await start(t)
    const socket = net.connect(Number(url.port), url.hostname, () => socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'))
    t.teardown(() => socket.destroy())
    socket.on('error', () => {}).pause()
    await sleep(TIMEOUT_MS / 2)
    t.deepEqual(evicted, [])
    await sleep(2 * TIMEOUT_MS)
    t.deepEqual(evicted, ['unread'])
  })

  // Guards against a limit that callers meet which read slowly, or wait for long.
  test(`a caller that reads slowly gets its whole answer, and one that waits for long gets it too: ${name}`, async t => {
    const { url, evicted } = await start(t)
    const readSlowly = async (message: http.IncomingMessage) => {
      let bytes = 0
      for await (const chunk of message) {
        bytes += chunk.length
        await sleep(4)
      }
      return bytes
    }
    const get = async (path: string) => await new Promise<number>((resolve, reject) => {
      http.get(new URL(path, url), { agent: false }, message => { readSlowly(message).then(resolve, reject) }).once('error', reject)
    })
    const startedAtMs = performance.now()
    t.deepEqual(await Promise.all([get('/'), get('/whole'), get('/silent')]), [CHUNK_COUNT * CHUNK.length, CHUNK_COUNT * CHUNK.length, 0])
    t.true(performance.now() - startedAtMs > 2 * TIMEOUT_MS)
    t.deepEqual(evicted, [])
  })
}
