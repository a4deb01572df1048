import http from 'node:http'

const HISTORY_MS = 20_000

/** Stand-in of the platform's store: rows, conditional transactions and the feed of changes, all under the empty part. */
export class Store {
  #rows = new Map()
  #changes = []
  #waiting = new Set()
  #version = 1
  #server = http.createServer((request, response) => this.#handle(request, response))
  address = ''

  async start () {
    this.address = await listen(this.#server)
  }

  /** Writes a row as the operator, a server or another writer does; `text` is its value. */
  put (table, key, text) {
    this.#apply([{ table, key, value: Buffer.from(text).toString('base64') }], [])
  }

  remove (table, key) {
    this.#apply([], [{ table, key }])
  }

  read (table, key) {
    const row = this.#rows.get(`${table}\n${key}`)
    return row === undefined ? null : Buffer.from(row.value, 'base64').toString()
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  #apply (writes, removed) {
    const version = ++this.#version
    const atMs = performance.now()
    for (const { table, key, value } of writes) {
      const row = { table, part: '', key, value, ver: version }
      this.#rows.set(`${table}\n${key}`, row)
      this.#changes.push({ atMs, row })
    }
    for (const { table, key } of removed) {
      if (!this.#rows.delete(`${table}\n${key}`)) continue
      this.#changes.push({ atMs, row: { table, part: '', key, ver: version, deleted: true } })
    }
    while (this.#changes.length > 0 && this.#changes[0].atMs < atMs - HISTORY_MS) this.#changes.shift()
    for (const answer of [...this.#waiting]) answer()
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    if (pathname === '/-/rows-get') return this.#send(response, 200, this.#get(searchParams))
    if (pathname === '/-/rows-feed') return this.#feed(searchParams, response)
    if (pathname === '/-/rows-tx') return this.#transact(JSON.parse(Buffer.concat(chunks).toString()), response)
    this.#send(response, 404, {})
  }

  #get (query) {
    const [table, from, to] = ['table', 'from', 'to'].map(name => query.get(name))
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    const found = [...this.#rows.values()].filter(row => row.table === table && (from === null || row.key >= from) && (to === null || row.key < to)).sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    return { rows: found.slice(0, limit), has_more: found.length > limit }
  }

  #feed (query, response) {
    const table = query.get('table')
    const after = Number(query.get('after'))
    const list = () => this.#changes.filter(({ row }) => row.table === table && row.ver > after).map(({ row }) => row)
    const answer = () => {
      const rows = list()
      if (rows.length === 0 && performance.now() < endsAtMs) return
      clearTimeout(timer)
      this.#waiting.delete(answer)
      this.#send(response, 200, { rows })
    }
    const endsAtMs = performance.now() + Number(query.get('wait_ms')) - 1
    const timer = setTimeout(answer, Number(query.get('wait_ms')))
    this.#waiting.add(answer)
    response.once('close', () => {
      clearTimeout(timer)
      this.#waiting.delete(answer)
    })
    answer()
  }

  #transact ({ expected = [], writes = [], remove = [] }, response) {
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return this.#send(response, 403, {})
    const rows = expected.map(({ table, key }) => this.#rows.get(`${table}\n${key}`))
    if (expected.some(({ ver }, n) => (rows[n]?.ver ?? 0) !== ver)) return this.#send(response, 412, { rows: rows.filter(row => row !== undefined) })
    this.#apply(writes, remove)
    this.#send(response, 200, {})
  }

  #send (response, status, body) {
    const text = JSON.stringify({ ...body, ver: this.#version, now_ms: Math.round(performance.now()) })
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
  }
}

/** Has a server listen on a free loopback port; resolves to IP:PORT. */
export async function listen (server, host = '127.0.0.1') {
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  return `${host}:${server.address().port}`
}
