import http from 'node:http'
import { listen } from './store.mjs'

const HEARTBEAT_MS = 1_200
const LOAD_MS = 570

/** Kept KV cache of one server: parts under a salt, each with the version and the tenant under which it was made. */
class KvCache {
  parts = new Map()
  events = []

  find (salt, id) {
    return this.parts.get(`${salt}\n${id}`)
  }

  keep (salt, part, model) {
    if (this.find(salt, part.id) !== undefined) return
    this.parts.set(`${salt}\n${part.id}`, part)
    this.events.push([this.events.length + 1, '+', salt, part.id, part.tokens, model])
  }

  clear () {
    for (const [key, { tokens, model }] of this.parts) {
      const [salt, id] = key.split('\n')
      this.events.push([this.events.length + 1, '-', salt, id, 0, model, tokens])
    }
    this.parts.clear()
  }
}

/** Stand-in of the store of kept KV cache. */
export class KvStore {
  cache = new KvCache()
  address = ''
  #server = http.createServer((request, response) => this.#handle(request, response))

  async start () {
    this.address = await listen(this.#server)
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async #handle (request, response) {
    request.resume()
    const since = Number(new URL(request.url, 'http://kv').searchParams.get('since') ?? 0)
    const endsAtMs = performance.now() + Math.min(1_000, Number(request.headers['wait-ms'] ?? 0))
    while (this.cache.events.length <= since && performance.now() < endsAtMs) await new Promise(resolve => setTimeout(resolve, 20))
    sendJson(response, 200, { boot_epoch: 1, next: this.cache.events.length, lost: false, events: this.cache.events.slice(since) })
  }
}

/** Stand-in of a model server: registers itself, keeps parts of prompts, fetches and saves them as it is told, and takes new weights. */
export class Engine {
  cache = new KvCache()
  /** What each run used: its tenant, the version of the weights, and the parts that were not read anew. */
  runs = []
  orders = []
  address = ''
  /** Number of check-ins. */
  checkIns = 0
  #ordersTaken = 0
  #isBusy = false
  #timer
  #server = http.createServer((request, response) => this.#handle(request, response))

  constructor (options) {
    Object.assign(this, { version: 1, born: Date.now(), ...options })
  }

  async start () {
    this.address = await listen(this.#server)
    this.beat()
    this.#timer = setInterval(() => this.beat(), HEARTBEAT_MS)
  }

  /** The entry of this server, without the number of check-ins. */
  describe () {
    const { service, address, model, version, born } = this
    return { service, address, zone: 'z-a', version: 'v1', slots: 64, state: 'ready', cold_left_ms: 0, stage: 'both', models: [{ name: model, version, adapters: [] }], born }
  }

  /** Checks in; the entry is written anew if more than `seq` differs from what lies there. */
  beat () {
    this.checkIns++
    const text = this.store.read('servers', this.id)
    const { seq, ...known } = text === null ? {} : JSON.parse(text)
    if (JSON.stringify(known) !== JSON.stringify(this.describe())) this.store.put('servers', this.id, JSON.stringify({ ...this.describe(), seq: this.checkIns }))
  }

  close () {
    clearInterval(this.#timer)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const { headers, url } = request
    const expected = headers['expect-instance']
    if (expected !== undefined && expected !== this.id) return sendNotRun(request, response, 421)
    if (url === '/-/report') return sendJson(response, 200, { stage: 'both', models: this.describe().models, busy: this.#isBusy, seq: this.#ordersTaken, queued: 0, running: 0, kv_used: 0, kv_total: 100_000, handles: 0, born: this.born })
    if (url === '/-/order') return this.#takeOrder(JSON.parse(Buffer.concat(chunks).toString()), response)
    if (url === '/health') return response.writeHead(200, { 'Instance-Id': this.id, 'Content-Length': 0 }).end()
    if (this.#isBusy) return sendNotRun(request, response, 503)
    const version = headers['expect-version']
    if (version !== undefined && Number(version) !== this.version) return sendNotRun(request, response, 421)
    if (headers['request-id'] === undefined || headers['prompt-prefix'] === undefined) return sendNotRun(request, response, 400)
    this.#run(request, response)
  }

  #takeOrder (order, response) {
    this.orders.push(order)
    if (this.#isBusy || (order.expected !== undefined && order.expected !== this.#ordersTaken)) return sendJson(response, 409, {})
    if (order.version === this.version) return sendJson(response, 200, {})
    this.#ordersTaken++
    this.#isBusy = true
    setTimeout(() => {
      this.cache.clear()
      this.version = order.version
      this.#isBusy = false
      this.beat()
    }, LOAD_MS)
    sendJson(response, 202, {})
  }

  #run (request, response) {
    const { headers } = request
    const salt = headers['cache-salt'] ?? ''
    const tenant = headers.tenant ?? ''
    const parts = headers['prompt-prefix'].split(',').map(text => ({ id: text.split(':')[0], tokens: Number(text.split(':')[1]) }))
    const source = this.findCache(headers['kv-fetch-from'])
    const target = this.findCache(headers['kv-save-to'])
    const used = []
    let isCached = true
    for (const { id, tokens } of parts) {
      const known = isCached ? this.cache.find(salt, id) ?? source?.find(salt, id) : undefined
      isCached = known !== undefined
      const part = known ?? { id, tokens, version: this.version, tenant, model: this.model }
      if (known !== undefined) used.push(known)
      this.cache.keep(salt, part, this.model)
      target?.keep(salt, part, this.model)
    }
    this.runs.push({ atMs: performance.now(), server: this.id, requestId: headers['request-id'], tenant, salt, expectVersion: headers['expect-version'] ?? null, fetchFrom: headers['kv-fetch-from'] ?? null, version: this.version, used })
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Request-Id': headers['request-id'], 'Response-Stamp': `s.${this.id}.${this.runs.length}`, 'Server-Load': '1,0,64', 'Weight-Versions': String(this.version) })
    for (let n = 1; n <= 3; n++) response.write(`id: ${n}\ndata: token ${n}\n\n`)
    response.end()
  }
}

function sendNotRun (request, response, status) {
  response.writeHead(status, { 'Not-Executed': '1', 'Content-Length': 0, ...request.headers['request-id'] && { 'Request-Id': request.headers['request-id'] } }).end()
}

function sendJson (response, status, body) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
}
