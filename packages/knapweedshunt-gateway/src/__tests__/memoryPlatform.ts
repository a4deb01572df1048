import type { Platform, Row, ScanRequest, Transaction } from 'knapweedshunt-platform'

const MS_PER_SECOND = 1_000

const STREAM_KEY_BYTES = 16

/** The rows of a store in memory; counts what is called and written. */
export class MemoryPlatform implements Platform {
  readonly #rows = new Map<string, Row & { table: string }>()
  readonly #writesBySecond = new Map<number, number>()
  #version = 0
  scanCount = 0
  writeCount = 0
  writtenBytes = 0
  maxRowBytes = 0
  /** Number of streams that were added to rows. */
  addedStreams = 0
  maxEntries = 0

  get maxWritesInOneSecond (): number {
    return Math.max(0, ...this.#writesBySecond.values())
  }

  put (table: string, key: string, value: unknown): void {
    const text = JSON.stringify(value)
    this.writtenBytes += text.length
    this.maxRowBytes = Math.max(this.maxRowBytes, text.length)
    this.addedStreams += countStreams(value) - countStreams(this.#rows.get(`${table} ${key}`)?.value)
    this.#rows.set(`${table} ${key}`, { table, key, version: ++this.#version, value: JSON.parse(text) })
  }

  listKeys (table: string): string[] {
    return this.#list(table).map(({ key }) => key)
  }

  readonly read: Platform['read'] = async (table, key) => this.#rows.get(`${table} ${key}`) ?? null

  readonly scan: Platform['scan'] = async ({ table, prefix = '', after = '', limit }: ScanRequest) => {
    this.scanCount++
    return this.#list(table).filter(({ key }) => key.startsWith(prefix) && key > after).slice(0, limit)
  }

  readonly transact: Platform['transact'] = async ({ checks, writes }: Transaction) => {
    const second = Math.floor(performance.now() / MS_PER_SECOND)
    this.#writesBySecond.set(second, (this.#writesBySecond.get(second) ?? 0) + 1)
    this.writeCount++
    this.maxEntries = Math.max(this.maxEntries, checks.length + writes.length)
    for (const write of writes) {
      if (write.type === 'put') this.put(write.table, write.key, write.value)
      else this.#rows.delete(`${write.table} ${write.key}`)
    }
    return { type: 'committed' }
  }

  readonly getObject: Platform['getObject'] = async () => null
  readonly putObject: Platform['putObject'] = async () => {}
  readonly listVms: Platform['listVms'] = async () => []

  #list (table: string): Row[] {
    return [...this.#rows.values()].filter(row => row.table === table).sort((a, b) => a.key < b.key ? -1 : 1)
  }
}

function countStreams (value: unknown): number {
  const { groups = [] } = Object(value) as { groups?: Array<{ keys: string }> }
  return groups.reduce((sum, { keys }) => sum + Buffer.from(keys, 'base64').length / STREAM_KEY_BYTES, 0)
}
