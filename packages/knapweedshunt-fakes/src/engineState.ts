import type { LoadReport } from 'knapweedshunt-types'
import { createIncarnation } from 'knapweedshunt-utils'
import { BlockCache } from './blockCache.ts'
import { DEFAULT_ENGINE_FAULTS } from './engineFaults.ts'
import type { EngineFaults } from './engineFaults.ts'
import type { EngineOptions } from './engineOptions.ts'

/** One entry of the engine's cache event stream; `n` grows by one per entry. */
export interface CacheEvent {
  n: number
  type: 'stored' | 'evicted'
  key: string
}

const MAX_EVENTS = 10_000

/** State of one engine stand-in over its incarnations. */
export class EngineState {
  readonly options: EngineOptions
  readonly faults: EngineFaults = { ...DEFAULT_ENGINE_FAULTS }
  readonly cache: BlockCache
  readonly cancelled = new Set<string>()
  incarnation = createIncarnation()
  weightsVersion: string
  role = 'serve'
  fencing = 0
  running = 0
  queuedTokens = 0
  /** Completions started over all incarnations. */
  started = 0
  /** Prompt tokens computed over all incarnations. */
  computedTokens = 0
  events: CacheEvent[] = []
  #lastEvent = 0
  #frozen: LoadReport | null = null

  constructor (options: EngineOptions) {
    this.options = options
    this.cache = new BlockCache(options.cacheBlocks)
    this.weightsVersion = options.weightsVersion
  }

  /** Stores prompt blocks and publishes what changed. */
  storeBlocks (keys: string[]): void {
    const fresh = keys.filter(key => !this.cache.has(key))
    const evicted = this.cache.store(keys)
    for (const key of fresh) this.#publish('stored', key)
    for (const key of evicted) this.#publish('evicted', key)
  }

  /** Load report as of now, or the frozen one. */
  reportLoad (): LoadReport {
    const report: LoadReport = {
      endpoint: this.options.endpoint,
      incarnation: this.incarnation,
      weightsVersion: this.weightsVersion,
      running: this.running,
      queued: 0,
      queuedTokens: Math.round(this.queuedTokens),
      atMs: Date.now()
    }
    if (!this.faults.freezeLoad) this.#frozen = report
    return this.#frozen ?? report
  }

  /** Comes back empty with the first weights, as a new incarnation. */
  restart (): void {
    this.incarnation = createIncarnation()
    this.weightsVersion = this.options.weightsVersion
    this.cache.clear()
    this.cancelled.clear()
    this.events = []
    this.#lastEvent = 0
    this.running = 0
    this.queuedTokens = 0
  }

  /** Takes new weights; the cache of the old ones goes. */
  takeWeights (version: string): void {
    this.weightsVersion = version
    this.cache.clear()
  }

  #publish (type: CacheEvent['type'], key: string): void {
    this.#lastEvent++
    this.events.push({ n: this.#lastEvent, type, key })
    if (this.events.length > MAX_EVENTS) this.events.shift()
  }
}
