import type { EndpointRole, LoadReport } from 'knapweedshunt-types'
import { createIncarnation, sleep } from 'knapweedshunt-utils'
import { BlockCache } from './blockCache.ts'
import { DEFAULT_ENGINE_FAULTS } from './engineFaults.ts'
import type { EngineFaults } from './engineFaults.ts'
import type { EngineOptions } from './engineOptions.ts'

/** One entry of the engine's cache event stream; the sequence number `n` grows by one per entry and restarts with each incarnation. */
export interface CacheEvent {
  n: number
  type: 'stored' | 'evicted'
  key: string
}

interface WeightsLoad {
  weightsKey: string
  done: Promise<void>
}

const MAX_EVENTS = 10_000

/** State of one fake engine across its incarnations. */
export class EngineState {
  readonly options: EngineOptions
  readonly faults: EngineFaults = { ...DEFAULT_ENGINE_FAULTS }
  readonly cache: BlockCache
  readonly cancelled = new Set<string>()
  incarnation = createIncarnation()
  /** Empty when no weights are loaded. */
  weightsVersion: string
  adapter = ''
  role: EndpointRole = 'serve'
  fencing = 0
  /** Versions of all weight loads started, across incarnations. */
  readonly loadedVersions: string[] = []
  running = 0
  queuedTokens = 0
  /** Completion requests received, across incarnations. */
  received = 0
  /** Completions started, across incarnations. */
  started = 0
  /** Prompt tokens computed, across incarnations. */
  computedTokens = 0
  events: CacheEvent[] = []
  #lastEventNumber = 0
  #weightsLoad: WeightsLoad | null = null
  #frozenReport: LoadReport | null = null

  constructor (options: EngineOptions) {
    this.options = options
    this.cache = new BlockCache(options.cacheBlocks)
    this.weightsVersion = options.weightsVersion
  }

  /** Whether a weight load is in progress. */
  get isLoading (): boolean {
    return this.#weightsLoad !== null
  }

  /** Stores prompt blocks in the cache and publishes events for new and evicted ones. */
  storeBlocks (keys: string[]): void {
    const newKeys = keys.filter(key => !this.cache.has(key))
    const evicted = this.cache.store(keys)
    for (const key of newKeys) this.#publish('stored', key)
    for (const key of evicted) this.#publish('evicted', key)
  }

  /** Returns the current load report, or the last one while the `freezeLoad` fault is set. */
  reportLoad (): LoadReport {
    const report: LoadReport = {
      endpoint: this.options.endpoint,
      incarnation: this.incarnation,
      weightsVersion: this.weightsVersion === '' ? null : this.weightsVersion,
      softwareVersion: this.faults.softwareVersion,
      adapter: this.adapter,
      role: this.role,
      running: this.running,
      queued: 0,
      queuedTokens: Math.round(this.queuedTokens),
      atMs: Date.now()
    }
    if (!this.faults.freezeLoad) this.#frozenReport = report
    return this.#frozenReport ?? report
  }

  /** Starts a new incarnation with an empty cache and no fencing token. */
  restart (): void {
    this.incarnation = createIncarnation()
    this.weightsVersion = this.options.restartsWithoutWeights ? '' : this.options.weightsVersion
    this.adapter = ''
    this.role = 'serve'
    this.fencing = 0
    this.#weightsLoad = null
    this.cache.clear()
    this.cancelled.clear()
    this.events = []
    this.#lastEventNumber = 0
    this.running = 0
    this.queuedTokens = 0
  }

  /** Loads weights and clears the cache of the previous ones. A repeated command waits for the load in progress; a different command or a crash abandons it. */
  async loadWeights (version: string, adapter: string): Promise<void> {
    const weightsKey = JSON.stringify([version, adapter])
    if (this.#weightsLoad?.weightsKey === weightsKey) return await this.#weightsLoad.done
    this.#weightsLoad = null
    if (this.weightsVersion === version && this.adapter === adapter) return
    this.loadedVersions.push(version)
    const load: WeightsLoad = { weightsKey, done: sleep(this.options.loadWeightsMs).then(() => this.#finishLoad(load, version, adapter)) }
    this.#weightsLoad = load
    await load.done
  }

  #finishLoad (load: WeightsLoad, version: string, adapter: string): void {
    if (this.#weightsLoad !== load) return
    this.#weightsLoad = null
    this.#applyWeights(version, adapter)
  }

  #applyWeights (version: string, adapter: string): void {
    this.weightsVersion = version
    this.adapter = adapter
    this.cache.clear()
  }

  #publish (type: CacheEvent['type'], key: string): void {
    this.#lastEventNumber++
    this.events.push({ n: this.#lastEventNumber, type, key })
    if (this.events.length > MAX_EVENTS) this.events.shift()
  }
}
