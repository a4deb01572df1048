import type { EventQueue } from './eventQueue.ts'
import type { Job } from './job.ts'
import type { KvStore } from './kvStore.ts'
import { SegmentCache } from './segmentCache.ts'

/** Performance parameters of one engine. */
export interface EngineParameters {
  /** Prefill rate in prompt tokens per second. */
  prefillTokensPerS: number
  /** Cache capacity in tokens. */
  cacheTokens: number
  /** Maximum number of concurrent streams. */
  slots: number
  /** Time per output token, in milliseconds. */
  tokenMs: number
  importLatencyMs: number
  importTokensPerS: number
}

/** A job that is queued or running on an engine. */
export interface EngineJob {
  job: Job
  /** Level key to import, null for none. */
  importKey: string | null
  onFirstToken (result: { cachedTokens: number, importedTokens: number, computedTokens: number }): void
  onEnd (): void
  onCrash (): void
}

/** Model of one engine: computes prompts one at a time, streams a bounded batch, and caches prompts. */
export class EngineModel {
  readonly index: number
  readonly dataCentre: number
  readonly parameters: EngineParameters
  cache: SegmentCache
  incarnation = 1
  isUp = true
  running = 0
  #events: EventQueue
  #kvStore: KvStore
  #queue: EngineJob[] = []
  #streams = new Set<EngineJob>()
  #prefilling: EngineJob | null = null
  #prefillEndsAtMs = 0
  #useCounts = new Map<number, number>()

  constructor (index: number, dataCentre: number, parameters: EngineParameters, events: EventQueue, kvStore: KvStore) {
    this.index = index
    this.dataCentre = dataCentre
    this.parameters = parameters
    this.cache = new SegmentCache(parameters.cacheTokens)
    this.#events = events
    this.#kvStore = kvStore
  }

  /** Number of requests in the queue. */
  get queued (): number {
    return this.#queue.length
  }

  /** Counts the prompt tokens left to compute, including those of the current prompt. */
  countQueuedTokens (): number {
    const present = this.#prefilling === null ? 0 : Math.max(0, this.#prefillEndsAtMs - this.#events.nowMs) * this.parameters.prefillTokensPerS / 1_000
    return present + this.#queue.reduce((sum, { job }) => sum + job.promptTokens - this.cache.countCachedTokens(job.segments), 0)
  }

  /** Counts the tokens of a prompt that will be cached when its computation starts, given the cache and the current queue. */
  countFutureCachedTokens (job: Job): number {
    let best = this.cache.countCachedTokens(job.segments)
    const ahead = this.#prefilling === null ? this.#queue : [this.#prefilling, ...this.#queue]
    for (const { job: other } of ahead) {
      let shared = 0
      for (let i = 0; i < job.segments.length && other.segments[i]?.id === job.segments[i].id; i++) shared += job.segments[i].tokens
      best = Math.max(best, shared)
    }
    return best
  }

  /** Adds a job to the queue; false if the engine is down. */
  enqueue (job: EngineJob): boolean {
    if (!this.isUp) return false
    this.#queue.push(job)
    this.#startNext()
    return true
  }

  /** Crashes the engine: the cache, the queue and all streams are lost. */
  crash (): void {
    const lost = [...this.#queue, ...this.#streams]
    this.isUp = false
    this.incarnation++
    this.#queue = []
    this.#streams.clear()
    this.#prefilling = null
    this.running = 0
    this.cache = new SegmentCache(this.parameters.cacheTokens)
    for (const job of lost) job.onCrash()
  }

  /** Starts the engine again after a crash, with an empty cache. */
  restart (): void {
    this.isUp = true
  }

  #startNext (): void {
    if (this.#prefilling !== null || this.running >= this.parameters.slots) return
    const next = this.#queue.shift()
    if (next === undefined) return
    this.#prefilling = next
    this.#streams.add(next)
    this.running++
    const { cachedTokens, importedTokens, computedTokens } = this.#countPrefillWork(next)
    const importMs = importedTokens === 0 ? 0 : this.parameters.importLatencyMs + importedTokens / this.parameters.importTokensPerS * 1_000
    const computeMs = computedTokens / this.parameters.prefillTokensPerS * 1_000
    this.#prefillEndsAtMs = this.#events.nowMs + importMs + computeMs
    this.#events.schedule(this.#prefillEndsAtMs, () => {
      if (!this.#streams.has(next)) return
      this.#prefilling = null
      this.#storePrompt(next.job)
      next.onFirstToken({ cachedTokens, importedTokens, computedTokens })
      this.#events.schedule(this.#events.nowMs + next.job.outputTokens * this.parameters.tokenMs, () => this.#finish(next))
      this.#startNext()
    })
  }

  #finish (job: EngineJob): void {
    if (!this.#streams.delete(job)) return
    this.running--
    job.onEnd()
    this.#startNext()
  }

  #countPrefillWork ({ job, importKey }: EngineJob): { cachedTokens: number, importedTokens: number, computedTokens: number } {
    const cachedTokens = this.cache.countCachedTokens(job.segments)
    const level = job.levels.find(one => one.key === importKey)
    const canImport = level !== undefined && level.tokens > cachedTokens && this.#kvStore.has(level.key)
    const importedTokens = canImport ? level.tokens - cachedTokens : 0
    return { cachedTokens, importedTokens, computedTokens: job.promptTokens - cachedTokens - importedTokens }
  }

  /** Caches a prompt. Segments used for the second time are saved to the KV store, except the last one, which is unique to the prompt. */
  #storePrompt (job: Job): void {
    this.cache.store(job.segments)
    for (const [i, { id }] of job.segments.slice(0, -1).entries()) {
      const uses = (this.#useCounts.get(id) ?? 0) + 1
      this.#useCounts.set(id, uses)
      if (uses === 2) this.#kvStore.save(job.levels[i].key, job.levels[i].tokens)
    }
  }
}
