import type { EndpointRole, LoadReport } from 'knapweedshunt-types'
import { createIncarnation, sleep } from 'knapweedshunt-utils'
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

interface WeightsLoad {
  name: string
  done: Promise<void>
}

const MAX_EVENTS = 10_000

/** State of one engine stand-in over its incarnations. */
export class EngineState {
  readonly options: EngineOptions
  readonly faults: EngineFaults = { ...DEFAULT_ENGINE_FAULTS }
  readonly cache: BlockCache
  readonly cancelled = new Set<string>()
  incarnation = createIncarnation()
  /** Empty without weights. */
  weightsVersion: string
  adapter = ''
  role: EndpointRole = 'serve'
  fencing = 0
  /** Weight loads started over all incarnations, by version. */
  readonly loadedVersions: string[] = []
  running = 0
  queuedTokens = 0
  /** Completion calls that came in over all incarnations. */
  received = 0
  /** Completions started over all incarnations. */
  started = 0
  /** Prompt tokens computed over all incarnations. */
  computedTokens = 0
  events: CacheEvent[] = []
  #lastEvent = 0
  #load: WeightsLoad | null = null
  #frozen: LoadReport | null = null

  constructor (options: EngineOptions) {
    this.options = options
    this.cache = new BlockCache(options.cacheBlocks)
    this.weightsVersion = options.weightsVersion
  }

  /** Whether weights are being loaded. */
  get isLoading (): boolean {
    return this.#load !== null
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
      weightsVersion: this.weightsVersion === '' ? null : this.weightsVersion,
      adapter: this.adapter,
      role: this.role,
      running: this.running,
      queued: 0,
      queuedTokens: Math.round(this.queuedTokens),
      atMs: Date.now()
    }
    if (!this.faults.freezeLoad) this.#frozen = report
    return this.#frozen ?? report
  }

  /** Comes back with nothing cached, as a new incarnation that knows no fencing number. */
  restart (): void {
    this.incarnation = createIncarnation()
    this.weightsVersion = this.options.restartsEmpty ? '' : this.options.weightsVersion
    this.adapter = ''
    this.role = 'serve'
    this.fencing = 0
    this.#load = null
    this.cache.clear()
    this.cancelled.clear()
    this.events = []
    this.#lastEvent = 0
    this.running = 0
    this.queuedTokens = 0
  }

  /** Loads weights and drops the cache of the old ones. The same order again joins the load; another one, or a crash, ends it. */
  async loadWeights (version: string, adapter: string): Promise<void> {
    const name = JSON.stringify([version, adapter])
    if (this.#load?.name === name) return await this.#load.done
    this.#load = null
    if (this.weightsVersion === version && this.adapter === adapter) return
    this.loadedVersions.push(version)
    const load: WeightsLoad = { name, done: sleep(this.options.loadWeightsMs).then(() => this.#finishLoad(load, version, adapter)) }
    this.#load = load
    await load.done
  }

  #finishLoad (load: WeightsLoad, version: string, adapter: string): void {
    if (this.#load !== load) return
    this.#load = null
    this.#takeWeights(version, adapter)
  }

  #takeWeights (version: string, adapter: string): void {
    this.weightsVersion = version
    this.adapter = adapter
    this.cache.clear()
  }

  #publish (type: CacheEvent['type'], key: string): void {
    this.#lastEvent++
    this.events.push({ n: this.#lastEvent, type, key })
    if (this.events.length > MAX_EVENTS) this.events.shift()
  }
}
