import { createHash } from 'node:crypto'
import http from 'node:http'
import net from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { startAdmin } from 'knapweedshunt-admin'
import { DEFAULT_CONTROL_OPTIONS, startControl } from 'knapweedshunt-control'
import { startFakePlatform } from 'knapweedshunt-fakes'
import { DEFAULT_ROUTER_OPTIONS, startRouter } from 'knapweedshunt-router'

const LISTEN_ADDRESS = { host: '127.0.0.1', port: 0 }
const KEY = 'a-key'
const CHUNK = '1\r\nx\r\n'
const CHUNK_COUNT = 10_000
const CONNECTION_COUNT = 4

/** Chunks that may be parsed in a turn of the event loop. */
const MAX_CHUNKS_AT_ONCE = CONNECTION_COUNT * CHUNK_COUNT / 8

/** Starts the programs of a VM; lists the URLs of the servers for other programs and for operators. */
async function startPrograms (t: ExecutionContext): Promise<Record<string, string>> {
  const platform = await startFakePlatform(LISTEN_ADDRESS)
  const { url: platformUrl } = platform
  const router = await startRouter({ ...DEFAULT_ROUTER_OPTIONS, drainGraceMs: 0, platformUrl, peerKey: KEY })
  const control = await startControl({ ...DEFAULT_CONTROL_OPTIONS, platformUrl, routerUrl: router.peerUrl, peerKey: KEY })
  const operatorKeys = [{ keyHash: createHash('sha256').update(KEY).digest('hex'), role: { type: 'editor' } as const }]
  const admin = await startAdmin({ listen: LISTEN_ADDRESS, platformUrl, controlUrl: control.url, routerUrl: router.peerUrl, peerKey: KEY, operatorKeys })
  t.teardown(async () => {
    await admin.stop()
    await control.stop()
    await router.stop()
    await platform.stop()
  })
  return { 'router for peers': `${router.peerUrl}/rpc`, control: `${control.url}/rpc`, admin: `${admin.url}/v1/changes` }
}

/** Counts the chunks that are parsed in each turn of the event loop; returns the most. */
function watchChunks (t: ExecutionContext): () => { total: number, mostAtOnce: number } {
  const count = { total: 0, atOnce: 0, mostAtOnce: 0 }
  const { push } = http.IncomingMessage.prototype
  http.IncomingMessage.prototype.push = function (chunk, encoding) {
    if (chunk !== null && chunk.length === 1) {
      if (count.atOnce++ === 0) setImmediate(() => { count.atOnce = 0 })
      count.total++
      count.mostAtOnce = Math.max(count.mostAtOnce, count.atOnce)
    }
    return push.call(this, chunk, encoding)
  }
  t.teardown(() => { http.IncomingMessage.prototype.push = push })
  return () => count
}

for (const name of ['router for peers', 'control', 'admin']) {
  // Guards against a server that stands still while it parses very many small chunks.
  test.serial(`requests in chunks of one byte are parsed in slices: ${name}`, async t => {
    const { [name]: url } = await startPrograms(t)
    const readCount = watchChunks(t)
    const { hostname, port, pathname } = new URL(url)
    const sockets = Array.from({ length: CONNECTION_COUNT }, () => net.connect(Number(port), hostname))
    t.teardown(() => { for (const socket of sockets) socket.destroy() })
    for (const socket of sockets) {
      socket.on('error', () => {})
      socket.resume()
      socket.write(`POST ${pathname} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${KEY}\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK.repeat(CHUNK_COUNT)}`)
    }
    const endMs = performance.now() + 10_000
    while (readCount().total < CONNECTION_COUNT * CHUNK_COUNT && performance.now() < endMs) await new Promise(resolve => setTimeout(resolve, 5))
    const { total, mostAtOnce } = readCount()
    t.log(`${mostAtOnce} of ${total} chunks at once`)
    t.is(total, CONNECTION_COUNT * CHUNK_COUNT)
    t.true(mostAtOnce < MAX_CHUNKS_AT_ONCE, `${mostAtOnce} chunks at once`)
  })
}
