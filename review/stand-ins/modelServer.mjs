import http from 'node:http'
import { readBody, sendJson } from './http.mjs'

const LOAD_MS = 570

/** Stand-in of a model server that serves no requests: it reports, takes orders to load weights, and lists itself in the store. It doesn't check generation numbers (`require_fencing` false). */
export class ModelServer {
  #deployment
  #service
  #model
  #address = ''
  #version = 1
  #seq = 0
  #beats = 0
  #isBusy = false
  #born = Date.now()
  /** Orders that arrived, in order. */
  orders = []

  constructor (deployment, id, service, model) {
    this.id = id
    this.#deployment = deployment
    this.#service = service
    this.#model = model
  }

  get version () {
    return this.#version
  }

  async start () {
    const host = this.#deployment.newHost()
    const server = http.createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    await new Promise(resolve => server.listen(0, host, resolve))
    server.unref()
    this.#address = `${host}:${server.address().port}`
    this.#beat()
    setInterval(() => this.#beat(), 1_200).unref()
  }

  #describeModels () {
    return [{ name: this.#model, version: this.#version, adapters: [] }]
  }

  #beat () {
    this.#deployment.store.put('servers', this.id, { service: this.#service, address: this.#address, zone: 'zone-a', version: 'v1', slots: 64, state: 'ready', cold_left_ms: 0, stage: 'both', models: this.#describeModels(), born: this.#born, seq: ++this.#beats })
  }

  async #serve (request, response) {
    const body = await readBody(request)
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'Instance-Id': this.id, 'Not-Executed': '1', 'Content-Length': 0 }).end()
    if (request.url === '/health') return response.writeHead(200, { 'Instance-Id': this.id, 'Content-Length': 0 }).end()
    if (request.method === 'POST' && request.url === '/-/order') return sendJson(response, this.#takeOrder(JSON.parse(body)), {})
    if (request.url !== '/-/report') return sendJson(response, 404, {})
    sendJson(response, 200, { stage: 'both', models: this.#describeModels(), busy: this.#isBusy, seq: this.#seq, queued: 0, running: 0, kv_used: 0, kv_total: 100_000, handles: 0, born: this.#born })
  }

  #takeOrder (order) {
    const status = this.#judge(order)
    this.orders.push({ atMs: performance.now(), status, ...order })
    this.#deployment.log(`${this.id} gets an order of ${order.holder}: generation number ${order.fence}, version ${order.version}, answered ${status}`)
    if (status !== 202) return status
    this.#seq++
    this.#isBusy = true
    setTimeout(() => {
      this.#version = order.version
      this.#isBusy = false
      this.#beat()
    }, LOAD_MS)
    return status
  }

  #judge ({ holder, fence, version, expected }) {
    if (holder === undefined || fence === undefined) return 400
    if (this.#isBusy || (expected !== undefined && expected !== this.#seq)) return 409
    return version <= this.#version ? 200 : 202
  }
}
