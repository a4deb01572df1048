import test from 'ava'
import { createHash } from 'node:crypto'
import http from 'node:http'
import { startFakeEngine, startFakePlatform, startFakeService } from 'knapweedshunt-fakes'
import type { FakePlatform, FakeService } from 'knapweedshunt-fakes'
import type { ResourceSnapshot, VmView } from 'knapweedshunt-types'
import { requestJson, sleep } from 'knapweedshunt-utils'
import type { JsonResponse } from 'knapweedshunt-utils'
import { DEFAULT_ROUTER_OPTIONS, startRouter } from '../index.ts'
import type { RunningRouter } from '../index.ts'

const TIMEOUT_MS = 20_000
const LISTEN_ADDRESS = { host: '127.0.0.1', port: 0 }
const PEER_KEY = 'a shared key of the test'
const KEYS = { 'harbour-hotel': 'hotel-key', 'rival-chain': 'rival-key' }

interface TestCluster {
  platform: FakePlatform
  service: FakeService
  routers: RunningRouter[]
  stop (): Promise<void>
}

function buildSnapshot (serviceUrl: string, engineUrl: string, checksIdempotencyKeys: boolean): ResourceSnapshot {
  const endpoint = { dataCentre: 'dc-1', weight: 1, cacheBlocks: 0, checksFencing: false, checksIdempotencyKeys, draining: false }
  const route = { repeatable: false, job: 'short', priorityClass: 'now', timeoutMs: 5_000 }
  const keys = Object.entries(KEYS).map(([organisation, key]) => ({ kind: 'AccessKey', name: organisation, spec: { organisation, keyHash: createHash('sha256').update(key).digest('hex') } }))
  const resources = [
    ...Object.keys(KEYS).map(name => ({ kind: 'Organisation', name, spec: { weight: 1 } })),
    ...keys,
    { kind: 'PriorityClass', name: 'now', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'dispatch', spec: { type: 'service', floor: 0 } },
    { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: 'house-rules', weightsVersion: 'w1', objective: 'tail', floor: 0, maxParallelLoads: 1 } },
    { kind: 'Endpoint', name: 'dispatch-1', spec: { ...endpoint, pool: 'dispatch', url: serviceUrl } },
    { kind: 'Endpoint', name: 'language-1', spec: { ...endpoint, pool: 'language', url: engineUrl, cacheBlocks: 4_000 } },
    { kind: 'Route', name: 'dispatch', spec: { ...route, match: { type: 'path', prefix: '/dispatch' }, pool: 'dispatch' } },
    { kind: 'Route', name: 'language', spec: { ...route, match: { type: 'model', model: 'house-rules' }, pool: 'language', repeatable: true } }
  ]
  return { revision: 1, resources: resources.map(resource => ({ ...resource, revision: 1 })) } as unknown as ResourceSnapshot
}

async function startCluster (checksIdempotencyKeys = false): Promise<TestCluster> {
  const platform = await startFakePlatform(LISTEN_ADDRESS)
  const service = await startFakeService({ endpoint: 'dispatch-1', checksIdempotencyKeys })
  const engine = await startFakeEngine({ endpoint: 'language-1' })
  const routers: RunningRouter[] = []
  for (const vm of ['vm-1', 'vm-2']) routers.push(await startRouter({ ...DEFAULT_ROUTER_OPTIONS, vm, dataCentre: 'dc-1', caller: LISTEN_ADDRESS, peer: LISTEN_ADDRESS, platformUrl: platform.url, peerKey: PEER_KEY }))
  const vms: VmView[] = routers.map((router, i) => ({ vm: `vm-${i + 1}`, incarnation: `${i}`, dataCentre: 'dc-1', controlUrl: '', routerUrl: router.peerUrl, state: 'live', appliedRevision: 1 }))
  for (const router of routers) router.dataPath.applySnapshot({ resources: buildSnapshot(service.url, engine.url, checksIdempotencyKeys), vms, endpoints: [] })
  async function stop () {
    await Promise.all(routers.map(router => router.stop()))
    await Promise.all([platform.stop(), service.stop(), engine.stop()])
  }
  return { platform, service, routers, stop }
}

function sendRequest (router: RunningRouter, headers: Record<string, string>, path = '/v1/services/dispatch', body: unknown = { towels: 2 }): Promise<JsonResponse> {
  return requestJson({ method: 'POST', url: router.callerUrl + path, body, headers: { authorization: `Bearer ${KEYS['harbour-hotel']}`, ...headers }, timeoutMs: TIMEOUT_MS })
}

function fetchOrderStatus (router: RunningRouter, key: string, accessKey = KEYS['harbour-hotel']): Promise<JsonResponse> {
  return requestJson({ method: 'GET', url: `${router.callerUrl}/v1/orders/${encodeURIComponent(key)}`, headers: { authorization: `Bearer ${accessKey}` }, timeoutMs: TIMEOUT_MS })
}

function countRuns (service: FakeService): number {
  return [...service.executions.values()].reduce((sum, runs) => sum + runs, 0)
}

function getErrorCode (answer: JsonResponse): string {
  return (answer.body as { error: { code: string } }).error.code
}

test('an idempotency key gives the same answer on every VM, and only to its organisation', async t => {
  const cluster = await startCluster()
  try {
    const [first, second] = cluster.routers
    const answer = await sendRequest(first, { 'idempotency-key': 'order-1' })
    const repeated = await sendRequest(second, { 'idempotency-key': 'order-1' })
    t.deepEqual([repeated.status, repeated.body], [200, answer.body])
    t.is(getErrorCode(await sendRequest(second, { 'idempotency-key': 'order-1' }, undefined, { towels: 3 })), 'idempotency_key_reused')
    t.is((await fetchOrderStatus(second, 'order-1')).status, 200)
    t.is(getErrorCode(await fetchOrderStatus(second, 'order-1', KEYS['rival-chain'])), 'order_unknown')
    const completion = { model: 'house-rules', prompt: 'rule '.repeat(20), max_tokens: 4 }
    const headers = { 'idempotency-key': 'note-1', 'x-repeatable': 'false' }
    const firstCompletion = await sendRequest(first, headers, '/v1/completions', completion) as JsonResponse & { body: { choices: unknown } }
    const repeatedCompletion = await sendRequest(second, headers, '/v1/completions', completion) as JsonResponse & { body: { choices: unknown } }
    t.deepEqual(repeatedCompletion.body.choices, firstCompletion.body.choices)
    t.is(getErrorCode(await sendRequest(first, { 'x-repeatable': 'true' }, '/v1/completions', completion)), 'header_invalid')
    t.is(countRuns(cluster.service), 1)
  } finally {
    await cluster.stop()
  }
})

test('a ticket minted during a platform outage runs once, from any VM, and its outcome survives the shutdown of its minter', async t => {
  const cluster = await startCluster()
  try {
    const [minter, other] = cluster.routers
    cluster.platform.memory.faults.down = true
    const used = (await sendRequest(minter, {}, '/v1/tickets')).body as { ticket: string, type: string }
    const unused = (await sendRequest(minter, {}, '/v1/tickets')).body as { ticket: string, type: string }
    t.is(used.type, 'pinned')
    const ownKeyAnswer = await sendRequest(other, { 'idempotency-key': 'order-2' })
    t.deepEqual([getErrorCode(ownKeyAnswer), ownKeyAnswer.headers['x-ran']], ['order_store_unreadable', 'may-have-run'])
    const forwarded = await sendRequest(other, { 'x-order-ticket': used.ticket })
    const direct = await sendRequest(minter, { 'x-order-ticket': used.ticket })
    t.deepEqual([forwarded.status, direct.body], [200, forwarded.body])
    t.is(getErrorCode(await sendRequest(other, { 'x-order-ticket': used.ticket, authorization: `Bearer ${KEYS['rival-chain']}` })), 'ticket_invalid')
    t.is(getErrorCode(await sendRequest(other, { 'x-order-ticket': used.ticket.replace(/.$/, '!') })), 'ticket_invalid')
    await minter.stop()
    t.like((await fetchOrderStatus(other, used.ticket)).body, { ran: 'ran' })
    t.like((await fetchOrderStatus(other, unused.ticket)).body, { ran: 'not-run' })
    t.is((await sendRequest(other, { 'x-order-ticket': unused.ticket })).headers['x-ran'], 'not-run')
    t.is(countRuns(cluster.service), 1)
    cluster.platform.memory.faults.down = false
  } finally {
    await cluster.stop()
  }
})

test('an order on a broken connection is resent only to an endpoint that checks idempotency keys, and runs once', async t => {
  for (const checksKeys of [false, true]) {
    const cluster = await startCluster(checksKeys)
    try {
      cluster.service.faults.resetAfter = true
      const answer = await sendRequest(cluster.routers[0], { 'idempotency-key': 'order-3' })
      t.deepEqual([answer.status, answer.headers['x-ran']], checksKeys ? [200, 'ran'] : [409, 'may-have-run'])
      t.is(countRuns(cluster.service), 1)
    } finally {
      await cluster.stop()
    }
  }
})

test('an order on a refused connection is reported as not run and never runs under its key, but runs under a new one', async t => {
  const cluster = await startCluster()
  try {
    const { service, routers: [first, second] } = cluster
    const port = Number(new URL(service.url).port)
    await service.stop()
    const refused = await sendRequest(first, { 'idempotency-key': 'order-4' })
    t.deepEqual([refused.status, refused.headers['x-ran']], [503, 'not-run'])
    t.truthy(refused.headers['retry-after'])
    const restartedService = await startFakeService({ port })
    t.is((await sendRequest(second, { 'idempotency-key': 'order-4' })).headers['x-ran'], 'not-run')
    t.is((await sendRequest(second, { 'idempotency-key': 'order-5' })).status, 200)
    t.is(countRuns(restartedService), 1)
    await restartedService.stop()
  } finally {
    await cluster.stop()
  }
})

test('the outcome of an order is readable after its caller disconnected and its router shut down', async t => {
  const cluster = await startCluster()
  try {
    const [first, second] = cluster.routers
    const body = JSON.stringify({ towels: 2 })
    const headers = { authorization: `Bearer ${KEYS['harbour-hotel']}`, 'idempotency-key': 'order-6', 'content-length': body.length }
    const request = http.request(`${first.callerUrl}/v1/services/dispatch`, { method: 'POST', headers })
    const closed = new Promise<void>(resolve => request.once('error', () => resolve()))
    request.end(body)
    cluster.platform.memory.faults.delayMs = 100
    while (cluster.platform.memory.tables.scan({ table: 'orders', limit: 1 }).length === 0) await sleep(1)
    request.destroy()
    await closed
    cluster.platform.memory.faults.delayMs = 0
    await first.stop()
    t.like((await fetchOrderStatus(second, 'order-6')).body, { ran: 'ran' })
    t.is(countRuns(cluster.service), 1)
  } finally {
    await cluster.stop()
  }
})
