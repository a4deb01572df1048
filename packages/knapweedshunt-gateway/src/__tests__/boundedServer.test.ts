import http from 'node:http'
import net from 'node:net'
import type { Socket } from 'node:net'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { createRpcClient } from 'knapweedshunt-rpc'
import { sleep } from 'knapweedshunt-utils'
import { AuxiliaryServers } from '../callers/auxiliaryServers.ts'
import { BoundedServer } from '../callers/boundedServer.ts'
import { computeInternalBounds } from '../callers/callerLimits.ts'
import { MAX_STARTED_REQUESTS } from '../callers/pipelinedRequests.ts'
import { PeerServer } from '../peers/peerServer.ts'
import { GatewayMetrics } from '../records/gatewayMetrics.ts'

const LOOPBACK = { host: '127.0.0.1', port: 0 }
const MAX_CONNECTIONS = 5
const CONNECTION_COUNT = 40

interface StartedServers {
  readiness: URL
  metrics: URL
  peers: URL
  peerKey: string
  evicted: string[]
}

/** Starts the servers of a VM that are not for callers; the method `wait` for other VMs is answered after a while. */
async function startServers (t: ExecutionContext): Promise<StartedServers> {
  const evicted: string[] = []
  const bounds = { maxConnections: MAX_CONNECTIONS, onEvicted: (reason: string) => { evicted.push(reason) } }
  const auxiliaryServers = new AuxiliaryServers({ metrics: new GatewayMetrics(), readinessBounds: bounds, metricsBounds: bounds, isReady: () => true })
  const peerServer = new PeerServer({ wait: async () => await sleep(1_000).then(() => 'done') }, (_request, response) => { response.destroy() }, bounds)
  t.teardown(async () => {
    await auxiliaryServers.close(AbortSignal.abort())
    await peerServer.close(AbortSignal.abort())
  })
  const { readiness, metrics } = await auxiliaryServers.start(LOOPBACK, LOOPBACK)
  const { url, key } = await peerServer.start(LOOPBACK)
  return { readiness: new URL(readiness), metrics: new URL(metrics!), peers: new URL(url), peerKey: key, evicted }
}

/** Opens connections that send this text. */
async function openConnections (t: ExecutionContext, { hostname, port }: URL, count: number, text = ''): Promise<Socket[]> {
  const sockets = Array.from({ length: count }, () => net.connect(Number(port), hostname))
  t.teardown(() => sockets.forEach(socket => socket.destroy()))
  await Promise.all(sockets.map(async socket => await new Promise<void>(resolve => {
    socket.on('error', () => resolve()).once('connect', () => socket.write(text, () => resolve())).resume()
  })))
  await sleep(200)
  return sockets
}

/** Resolves to the status, 0 without an answer. */
async function call (url: URL): Promise<number> {
  return await new Promise(resolve => {
    http.get(url, { agent: false }, message => resolve(message.resume().statusCode ?? 0)).once('error', () => resolve(0))
  })
}

for (const [name, status] of [['readiness', 200], ['metrics', 200], ['peers', 401]] as const) {
  // Guards against a VM whose descriptors are used up by connections to a port that is not for callers.
  test(`connections without a request have a bound and give way: ${name}`, async t => {
    const servers = await startServers(t)
    const sockets = await openConnections(t, servers[name], CONNECTION_COUNT)
    t.is(sockets.filter(socket => !socket.closed).length, MAX_CONNECTIONS)
    t.deepEqual(servers.evicted, Array<string>(CONNECTION_COUNT - MAX_CONNECTIONS).fill('idleConnection'))
    t.is(await call(servers[name]), status)
  })
}

// Guards against a crowd that ends the calls of other VMs.
test('a connection with a call of another VM does not give way; a new one does if there is no other', async t => {
  const { peers, peerKey, evicted } = await startServers(t)
  const client = createRpcClient({ url: peers.origin, sharedKey: peerKey, timeoutMs: 5_000 })
  t.teardown(() => client.close())
  const calls = Promise.all(Array.from({ length: MAX_CONNECTIONS }, async () => await client.call('wait', {})))
  await sleep(100)
  await openConnections(t, peers, CONNECTION_COUNT)
  t.deepEqual(new Set(evicted), new Set(['newConnection']))
  t.deepEqual(await calls, Array<string>(MAX_CONNECTIONS).fill('done'))
})

/** Starts a server that answers requests for `/` only. */
async function startHalfSilentServer (t: ExecutionContext, maxConnections: number) {
  const evicted: string[] = []
  const counts = { started: 0 }
  const server = new BoundedServer({}, { maxConnections, onEvicted: reason => { evicted.push(reason) } }, (request, response) => {
    counts.started++
    if (request.url === '/') response.end()
  })
  t.teardown(async () => await server.close(AbortSignal.abort()))
  return { url: new URL(await server.start(LOOPBACK)), evicted, counts }
}

const SILENT_REQUEST = 'GET /silent HTTP/1.1\r\nHost: h\r\n\r\n'

// Guards against callers of other ports whose requests all run at once, and wait in memory without a bound.
test('requests of one connection are bounded at other ports, and those that wait on all connections together', async t => {
  const { url, evicted, counts } = await startHalfSilentServer(t, 100)
  await openConnections(t, url, 1, SILENT_REQUEST.repeat(20))
  t.is(counts.started, MAX_STARTED_REQUESTS)
  t.deepEqual(evicted, [])
  await openConnections(t, url, 20, SILENT_REQUEST.repeat(40))
  while (evicted.length < 21) await sleep(5)
  t.deepEqual(evicted, Array<string>(21).fill('waitingRequests'))
  t.is(await call(url), 200)
})

// Guards against callers that keep all connections of a port by requests whose answers they do not read.
test('a connection on which requests wait gives way to a new one', async t => {
  const { url, evicted } = await startHalfSilentServer(t, 2)
  await openConnections(t, url, 2, SILENT_REQUEST.repeat(14))
  t.deepEqual(evicted, [])
  t.is(await call(url), 200)
  t.deepEqual(evicted, ['waitingRequests'])
})

// Guards against answers that are lost or out of order behind the bound.
test('a connection with a few requests sent without waiting gets all its answers at the port for readiness', async t => {
  const { readiness } = await startServers(t)
  const count = 20
  const socket = net.connect(Number(readiness.port), readiness.hostname, () => socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(count)))
  t.teardown(() => socket.destroy())
  let received = ''
  socket.on('data', chunk => { received += chunk.toString() })
  while (received.split('HTTP/1.1 200').length <= count && !socket.closed) await sleep(5)
  t.is(received.split('HTTP/1.1 200').length - 1, count)
})

// Guards against a bound that a large deployment meets: each VM keeps a few connections to each other one, and one that reads the tables has three polls of each of those it serves.
test('the connections of other VMs have a bound that 400 VMs do not meet', t => {
  t.deepEqual(computeInternalBounds({ memoryMb: 160, maxDescriptors: 800 }), { peerConnections: 150, checkConnections: 12 })
  t.true(computeInternalBounds({ memoryMb: 178, maxDescriptors: 3_075 }).peerConnections >= 400)
  t.true(computeInternalBounds({ memoryMb: 88, maxDescriptors: 4_100 }).peerConnections >= 400)
  t.true(computeInternalBounds({ memoryMb: null, maxDescriptors: null }).peerConnections >= 400)
})
