import type { EventQueue } from './eventQueue.ts'
import type { Job } from './job.ts'
import type { KeptStore } from './keptStore.ts'
import { SegmentCache } from './segmentCache.ts'

/** Figures of one engine. */
export interface EngineShape {
  /** Prompt tokens computed per second. */
  prefillTokensPerS: number
  /** Cache in tokens. */
  cacheTokens: number
  /** Streams at a time. */
  slots: number
  /** Time between tokens, in milliseconds. */
  tokenMs: number
  importStartMs: number
  importTokensPerS: number
}

/** A job on an engine. */
export interface EngineJob {
  job: Job
  /** Level key to import, null for none. */
  importKey: string | null
  onFirstToken (result: { cachedTokens: number, importedTokens: number, computedTokens: number }): void
  onEnd (): void
  onCrash (): void
}

/** One engine: computes prompts one after another, streams in a bounded batch, caches prompts. */
export class EngineModel {
  readonly index: number
  readonly dataCentre: number
  readonly shape: EngineShape
  cache: SegmentCache
  incarnation = 1
  isUp = true
  running = 0
  #events: EventQueue
  #kept: KeptStore
  #queue: EngineJob[] = []
  #streams = new Set<EngineJob>()
  #computing: EngineJob | null = null
  #computedAtMs = 0
  #used = new Map<number, number>()

  constructor (index: number, dataCentre: number, shape: EngineShape, events: EventQueue, kept: KeptStore) {
    this.index = index
    this.dataCentre = dataCentre
    this.shape = shape
    this.cache = new SegmentCache(shape.cacheTokens)
    this.#events = events
    this.#kept = kept
  }

  /** Requests waiting. */
  get queued (): number {
    return this.#queue.length
  }

  /** Prompt tokens that wait to be computed, the present prompt included. */
  countQueuedTokens (): number {
    const present = this.#computing === null ? 0 : Math.max(0, this.#computedAtMs - this.#events.nowMs) * this.shape.prefillTokensPerS / 1_000
    return present + this.#queue.reduce((sum, { job }) => sum + job.promptTokens - this.cache.countCached(job.segments), 0)
  }

  /** Tokens of a prompt that will be cached when its turn comes, as far as the present queue shows. */
  countFutureCached (job: Job): number {
    let best = this.cache.countCached(job.segments)
    const ahead = this.#computing === null ? this.#queue : [this.#computing, ...this.#queue]
    for (const { job: other } of ahead) {
      let shared = 0
      for (let i = 0; i < job.segments.length && other.segments[i]?.id === job.segments[i].id; i++) shared += job.segments[i].tokens
      best = Math.max(best, shared)
    }
    return best
  }

  /** Takes a job; false if the engine is down. */
  take (job: EngineJob): boolean {
    if (!this.isUp) return false
    this.#queue.push(job)
    this.#startNext()
    return true
  }

  /** Loses everything. */
  crash (): void {
    const lost = [...this.#queue, ...this.#streams]
    this.isUp = false
    this.incarnation++
    this.#queue = []
    this.#streams.clear()
    this.#computing = null
    this.running = 0
    this.cache = new SegmentCache(this.shape.cacheTokens)
    for (const job of lost) job.onCrash()
  }

  /** Comes back empty. */
  restart (): void {
    this.isUp = true
  }

  #startNext (): void {
    if (this.#computing !== null || this.running >= this.shape.slots) return
    const next = this.#queue.shift()
    if (next === undefined) return
    this.#computing = next
    this.#streams.add(next)
    this.running++
    const { cachedTokens, importedTokens, computedTokens } = this.#countWork(next)
    const importMs = importedTokens === 0 ? 0 : this.shape.importStartMs + importedTokens / this.shape.importTokensPerS * 1_000
    const computeMs = computedTokens / this.shape.prefillTokensPerS * 1_000
    this.#computedAtMs = this.#events.nowMs + importMs + computeMs
    this.#events.add(this.#computedAtMs, () => {
      if (!this.#streams.has(next)) return
      this.#computing = null
      this.#storePrompt(next.job)
      next.onFirstToken({ cachedTokens, importedTokens, computedTokens })
      this.#events.add(this.#events.nowMs + next.job.outputTokens * this.shape.tokenMs, () => this.#finish(next))
      this.#startNext()
    })
  }

  #finish (job: EngineJob): void {
    if (!this.#streams.delete(job)) return
    this.running--
    job.onEnd()
    this.#startNext()
  }

  #countWork ({ job, importKey }: EngineJob): { cachedTokens: number, importedTokens: number, computedTokens: number } {
    const cachedTokens = this.cache.countCached(job.segments)
    const level = job.levels.find(one => one.key === importKey)
    const canImport = level !== undefined && level.tokens > cachedTokens && this.#kept.has(level.key)
    const importedTokens = canImport ? level.tokens - cachedTokens : 0
    return { cachedTokens, importedTokens, computedTokens: job.promptTokens - cachedTokens - importedTokens }
  }

  /** Prompts used twice are exported, all but their last segment. */
  #storePrompt (job: Job): void {
    this.cache.store(job.segments)
    for (const [i, { id }] of job.segments.slice(0, -1).entries()) {
      const uses = (this.#used.get(id) ?? 0) + 1
      this.#used.set(id, uses)
      if (uses === 2) this.#kept.keep(job.levels[i].key, job.levels[i].tokens)
    }
  }
}
