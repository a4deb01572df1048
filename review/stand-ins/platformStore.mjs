import http from 'node:http'
import { readBody, sendJson } from './http.mjs'

/** Tables that the operator and the servers write, and that are written again after the store came back from a copy. */
const OUTSIDE_TABLES = ['op', 'servers']

/** Stand-in of the platform's store: rows in memory, transactions with conditions, a feed of changes. Its one fault is the drill of {@link restore}. */
export class PlatformStore {
  #rows = new Map()
  #ver = 0
  #waiters = new Set()
  #isAway = false
  /** Number of times that the store came back from a copy; in each answer. */
  #era = 0
  #server = http.createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
  address = ''

  async start (host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a row as the operator or a server does. */
  put (table, key, value) {
    this.#write({ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }, ++this.#ver, false)
    this.#wake()
  }

  /** Removes a row as the platform does. */
  remove (table, key) {
    this.#write({ table, part: '', key, value: '' }, ++this.#ver, true)
    this.#wake()
  }

  /** Values of the rows of a table, by key. */
  values (table) {
    return new Map(this.#list(table, '').map(row => [row.key, JSON.parse(Buffer.from(row.value, 'base64'))]))
  }

  /** Copies all rows; the result is for {@link restore}. */
  copy () {
    return { rows: structuredClone([...this.#rows]), ver: this.#ver }
  }

  /** The store is away: calls in progress are broken off, new ones are answered 503, which means that nothing was done. */
  leave () {
    this.#isAway = true
    this.#server.closeAllConnections()
  }

  /** The store comes back from a copy: what the system has written since is gone, what the operator and the servers have written is written again. */
  restore ({ rows, ver }) {
    const outside = [...this.#rows.values()].filter(row => row.ver > ver && OUTSIDE_TABLES.includes(row.table)).sort((a, b) => a.ver - b.ver)
    this.#rows = new Map(structuredClone(rows))
    this.#ver = ver
    this.#era++
    for (const { deleted, ...row } of outside) this.#write(row, ++this.#ver, deleted)
    this.#isAway = false
    this.#wake()
  }

  #send (response, status, body) {
    response.setHeader('Store-Era', String(this.#era))
    sendJson(response, status, body)
  }

  #name ({ table, part, key }) {
    return JSON.stringify([table, part ?? '', key])
  }

  #write (row, ver, deleted) {
    this.#rows.set(this.#name(row), { ...row, part: row.part ?? '', ver, deleted })
  }

  #wake () {
    for (const wake of this.#waiters) wake()
  }

  #list (table, part) {
    return [...this.#rows.values()].filter(row => row.table === table && row.part === part && !row.deleted).sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
  }

  async #serve (request, response) {
    const url = new URL(request.url, 'http://store')
    const body = await readBody(request)
    if (this.#isAway) return sendJson(response, 503, {})
    if (request.method === 'POST' && url.pathname === '/-/rows-tx') return this.#transact(response, JSON.parse(body))
    if (url.pathname === '/-/rows-get') return this.#get(response, url.searchParams)
    if (url.pathname === '/-/rows-feed') return await this.#feed(response, url.searchParams)
    this.#send(response, 404, {})
  }

  #get (response, query) {
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const rows = this.#list(query.get('table'), query.get('part') ?? '').filter(({ key }) => key >= from && (to === null || key < to))
    this.#send(response, 200, { rows: rows.slice(0, limit), has_more: rows.length > limit, ver: this.#ver, now_ms: Math.round(performance.now()) })
  }

  #transact (response, { expected = [], writes = [], remove = [] }) {
    if ([...writes, ...remove].some(({ table }) => OUTSIDE_TABLES.includes(table))) return this.#send(response, 403, {})
    const current = expected.map(row => this.#rows.get(this.#name(row)))
    const holds = expected.every(({ ver }, i) => (current[i] === undefined || current[i].deleted ? 0 : current[i].ver) === ver)
    if (!holds) return this.#send(response, 412, { rows: current.filter(row => row !== undefined && !row.deleted), ver: this.#ver, now_ms: Math.round(performance.now()) })
    this.#ver++
    for (const row of writes) this.#write(row, this.#ver, false)
    for (const row of remove) this.#write({ ...row, value: '' }, this.#ver, true)
    this.#wake()
    this.#send(response, 200, { ver: this.#ver, now_ms: Math.round(performance.now()) })
  }

  async #feed (response, query) {
    const after = Number(query.get('after'))
    const untilMs = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
    for (;;) {
      if (after > this.#ver) return this.#send(response, 410, {})
      const rows = [...this.#rows.values()].filter(row => row.table === query.get('table') && row.ver > after).sort((a, b) => a.ver - b.ver)
      const leftMs = untilMs - performance.now()
      if (rows.length > 0 || leftMs <= 0) return this.#send(response, 200, { rows, ver: this.#ver, now_ms: Math.round(performance.now()) })
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, leftMs)
        this.#waiters.add(wake)
      })
      if (response.destroyed) return
    }
  }
}
