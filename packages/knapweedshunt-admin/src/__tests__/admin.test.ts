import test from 'ava'
import { createHash } from 'node:crypto'
import http from 'node:http'
import { startControl, DEFAULT_CONTROL_OPTIONS } from 'knapweedshunt-control'
import { startFakePlatform } from 'knapweedshunt-fakes'
import { createRpcHandler } from 'knapweedshunt-rpc'
import type { RouterSnapshot } from 'knapweedshunt-types'
import { requestJson, closeServer, createIncarnation, listen } from 'knapweedshunt-utils'
import type { JsonRequest } from 'knapweedshunt-utils'
import type { OperatorRole } from '../operatorKey.ts'
import { startAdmin } from '../startAdmin.ts'

const LISTEN = { host: '127.0.0.1', port: 0 }
const KEYS = { editor: 'editor-key', viewer: 'viewer-key', harbour: 'harbour-key' }
const HASH = 'a'.repeat(64)

async function startSystem () {
  const platform = await startFakePlatform(LISTEN)
  const peerKey = createIncarnation()
  const rpc = createRpcHandler({ 'router.snapshot': params => ({ appliedRevision: (params as RouterSnapshot).resources.revision }) }, peerKey)
  const server = http.createServer((message, response) => rpc(message, response))
  const routerUrl = await listen(server, LISTEN)
  const control = await startControl({ ...DEFAULT_CONTROL_OPTIONS, listen: LISTEN, routerUrl, platformUrl: platform.url, peerKey, platformIntervalMs: 50, exchangeIntervalMs: 50 })
  platform.memory.vms.push({ vm: 'vm-1', dataCentre: 'dc-1', controlUrl: control.url, routerUrl, state: 'live' })
  const roles: Array<[string, OperatorRole]> = [[KEYS.editor, { type: 'editor' }], [KEYS.viewer, { type: 'viewer' }], [KEYS.harbour, { type: 'organisation', organisation: 'harbour' }]]
  const operatorKeys = roles.map(([key, role]) => ({ keyHash: createHash('sha256').update(key).digest('hex'), role }))
  const admin = await startAdmin({ listen: LISTEN, platformUrl: platform.url, controlUrl: control.url, routerUrl, peerKey, operatorKeys })
  const call = (method: JsonRequest['method'], path: string, key: string, body?: unknown) =>
    requestJson({ method, url: admin.url + path, body, headers: { authorization: `Bearer ${key}` }, timeoutMs: 10_000 })
  const change = (ops: unknown[], key = KEYS.editor, rest = {}) => call('POST', '/v1/changes', key, { changeId: createIncarnation(), ops, ...rest })
  async function stop () {
    await admin.stop()
    await control.stop()
    await closeServer(server)
    await platform.stop()
  }
  return { platform, admin, call, change, stop }
}

function put (kind: string, name: unknown, spec: unknown): unknown {
  return { type: 'put', resource: { kind, name, spec } }
}

function buildEndpoint (overrides: Record<string, unknown>): unknown {
  return put('Endpoint', 'e1', { pool: 'pool', url: 'http://10.0.0.7:8000', dataCentre: 'dc-1', ...overrides })
}

const INVALID_CHANGES: Array<[string, unknown[], number, RegExp]> = [
  ['unknown kind', [put('Fleet', 'a', {})], 422, /kind is "Fleet"/],
  ['name missing', [put('Organisation', undefined, { weight: 1 })], 422, /name is missing/],
  ['uppercase name', [put('Organisation', 'Harbour', { weight: 1 })], 422, /lowercase letters/],
  ['weight 0', [put('Organisation', 'a', { weight: 0 })], 422, /spec.weight is 0/],
  ['unknown field', [put('Organisation', 'a', { weigth: 1 })], 422, /weigth/],
  ['key not hashed', [put('AccessKey', 'k', { organisation: 'harbour', keyHash: 'secret' })], 422, /SHA-256/],
  ['unknown organisation', [put('AccessKey', 'k', { organisation: 'none', keyHash: HASH })], 422, /no Organisation of that name/],
  ['URL with a host name', [buildEndpoint({ url: 'http://engine:8000' })], 422, /IPv4 address/],
  ['unknown pool', [buildEndpoint({ pool: 'none' })], 422, /no EndpointPool/],
  ['objective', [put('EndpointPool', 'p', { type: 'model', model: 'm', weightsVersion: 'w', objective: 'fast' })], 422, /objective is "fast"/],
  ['no parallel loads', [put('EndpointPool', 'p', { type: 'model', model: 'm', weightsVersion: 'w', objective: 'tail', maxParallelLoads: 0 })], 422, /maxParallelLoads is 0/],
  ['timeout', [put('Route', 'r', { match: { type: 'path', prefix: '/x' }, pool: 'pool', repeatable: true, priorityClass: 'c', timeoutMs: 1e9 })], 422, /timeoutMs is 1000000000/],
  ['unknown priority class', [put('Route', 'r', { match: { type: 'path', prefix: '/x' }, pool: 'pool', repeatable: true, priorityClass: 'none' })], 422, /no PriorityClass/],
  ['twice in one change', [put('Organisation', 'a', { weight: 1 }), put('Organisation', 'a', { weight: 2 })], 422, /appears twice/],
  ['delete of a missing resource', [{ type: 'delete', kind: 'Organisation', name: 'none' }], 422, /cannot be deleted/],
  ['delete of a referenced resource', [{ type: 'delete', kind: 'Organisation', name: 'harbour' }], 422, /AccessKey harbour-key: spec.organisation is "harbour"/],
  ['one invalid of two', [put('Organisation', 'good', { weight: 1 }), put('Organisation', 'bad', { weight: -1 })], 422, /Organisation bad/],
  ['draining as a string', [buildEndpoint({ draining: 'yes' })], 422, /draining is "yes"/],
  ['limit of 0 requests', [put('Limit', 'l', { organisation: 'harbour', requestsPerSecond: 0, concurrent: 1 })], 422, /requestsPerSecond is 0/],
  ['no operations', [], 400, /ops/],
  ['unknown operation', [{ type: 'patch' }], 400, /ops.0.type/]
]

test('invalid or unauthorised changes are rejected', async t => {
  const system = await startSystem()
  try {
    const first = [put('Organisation', 'harbour', { weight: 1 }), put('Organisation', 'rival', { weight: 1 }), put('EndpointPool', 'pool', { type: 'service' }), put('PriorityClass', 'c', { rank: 0, enginePriority: 0 }), put('AccessKey', 'harbour-key', { organisation: 'harbour', keyHash: HASH }), put('AccessKey', 'rival-key', { organisation: 'rival', keyHash: 'b'.repeat(64) })]
    t.is((await system.change(first)).status, 200)
    for (const [name, ops, status, message] of INVALID_CHANGES) {
      const answer = await system.change(ops)
      t.is(answer.status, status, name)
      t.regex((answer.body as { error: { message: string } }).error.message, message, name)
    }
    const raced = await system.change([put('Organisation', 'a', { weight: 1 })], KEYS.editor, { expectedRevision: 0 })
    t.like(raced, { status: 409, body: { error: { code: 'revision_raced', revision: 1 } } })
    t.is((await system.change(first, KEYS.viewer)).status, 403)
    t.is((await system.change(first, 'no such key')).status, 401)
    const own = [put('AccessKey', 'second', { organisation: 'harbour', keyHash: 'c'.repeat(64) })]
    t.is((await system.change(own, KEYS.harbour)).status, 200)
    t.is((await system.change([{ type: 'delete', kind: 'AccessKey', name: 'second' }], KEYS.harbour)).status, 200)
    t.is((await system.change([{ type: 'delete', kind: 'AccessKey', name: 'rival-key' }], KEYS.harbour)).status, 403)
    t.is((await system.change([put('AccessKey', 'rival-key', { organisation: 'harbour', keyHash: HASH })], KEYS.harbour)).status, 403)
    t.is((await system.change([put('Organisation', 'harbour', { weight: 9 })], KEYS.harbour)).status, 403)
    const seen = await system.call('GET', '/v1/resources', KEYS.harbour)
    t.false(JSON.stringify(seen.body).includes('rival'))
    t.is((await system.call('GET', '/v1/watch?after=-1', KEYS.viewer)).status, 400)
  } finally {
    await system.stop()
  }
})

test('a watch resumes after Last-Event-ID and reports when a revision is in force', async t => {
  const system = await startSystem()
  try {
    await system.change([put('Organisation', 'harbour', { weight: 1 })])
    await readWatchUntil(`${system.admin.url}/v1/watch`, { authorization: `Bearer ${KEYS.viewer}` }, /id: 1\ndata: .*"status":"true"/)
    for (const weight of [2, 3]) await system.change([put('Organisation', 'harbour', { weight })])
    await system.change([put('AccessKey', 'rival-key', { organisation: 'harbour', keyHash: HASH })])
    const headers = { authorization: `Bearer ${KEYS.harbour}`, 'last-event-id': '1' }
    const text = await readWatchUntil(`${system.admin.url}/v1/watch?after=0`, headers, /event: status\nid: 4\ndata: .*"status":"true"/)
    t.deepEqual([...text.matchAll(/event: change\nid: (\d)/g)].map(found => found[1]), ['2', '3', '4'])
    t.regex(text, /"weight":3/)
  } finally {
    await system.stop()
  }
})

function readWatchUntil (url: string, headers: Record<string, string>, pattern: RegExp): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = ''
    const request = http.get(url, { headers }, response => {
      response.on('data', chunk => {
        text += String(chunk)
        if (!pattern.test(text)) return
        request.destroy()
        resolve(text)
      })
    })
    request.on('error', reject)
  })
}
