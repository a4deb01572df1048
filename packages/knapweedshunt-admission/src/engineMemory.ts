import type { RequestId } from 'knapweedshunt-types'

/** Time constant with which the requests of other VMs that an engine told are forgotten, in milliseconds. */
const TOLD_DECAY_MS = 1_000

/** Weight of the newest request in the mean of the tokens that a request shares with none. */
const MEAN_WEIGHT = 0.05

/** A part of a prompt, which requests with the same key share in an engine's memory. */
export interface MemoryPart {
  key: string
  tokens: number
  /** Whether other requests may have the part too. */
  isShared: boolean
}

interface EngineState {
  requests: Map<RequestId, readonly MemoryPart[]>
  /** By key, the tokens of a part and the number of requests that use it. */
  parts: Map<string, { tokens: number, count: number }>
  tokens: number
  othersCount: number
  toldAtMs: number
}

/** Tokens that engines of one pool hold for requests under way: of this VM as sent, with shared parts counted once, and of other VMs by the number of requests that the engine told, without what these share. An engine is any object that stands for one of its incarnations. */
export class EngineMemory {
  readonly #engines = new WeakMap<object, EngineState>()
  #meanTokens = 0

  /** Records a request that is sent. */
  recordStart (engine: object, request: RequestId, parts: readonly MemoryPart[]): void {
    const addedTokens = this.#countAdded(engine, parts)
    const ownTokens = parts.reduce((sum, { tokens, isShared }) => isShared ? sum : sum + tokens, 0)
    this.#meanTokens += (ownTokens - this.#meanTokens) * (this.#meanTokens === 0 ? 1 : MEAN_WEIGHT)
    const state = this.#getOrCreate(engine)
    state.requests.set(request, parts)
    state.tokens += addedTokens
    for (const { key, tokens } of parts) {
      const held = state.parts.get(key)
      if (held === undefined) state.parts.set(key, { tokens, count: 1 })
      else held.count++
    }
  }

  /** Records the end of a request; one that is not known is ignored. */
  recordEnd (engine: object, request: RequestId): void {
    const state = this.#engines.get(engine)
    const parts = state?.requests.get(request)
    if (state === undefined || parts === undefined) return
    state.requests.delete(request)
    for (const { key } of parts) {
      const held = state.parts.get(key)!
      if (--held.count > 0) continue
      state.parts.delete(key)
      state.tokens -= held.tokens
    }
  }

  /** Records the number of requests that an engine told, running and waiting, of all VMs. */
  recordLoad (engine: object, requestCount: number): void {
    const state = this.#getOrCreate(engine)
    state.othersCount = Math.max(0, requestCount - state.requests.size)
    state.toldAtMs = performance.now()
  }

  /** Estimates the tokens that an engine holds for the requests of all VMs. */
  estimateTokens (engine: object): number {
    const state = this.#engines.get(engine)
    return state === undefined ? 0 : state.tokens + state.othersCount * Math.exp((state.toldAtMs - performance.now()) / TOLD_DECAY_MS) * this.#meanTokens
  }

  /** Whether an engine has memory for a request, of `memoryTokens` in all. */
  hasRoom (engine: object, parts: readonly MemoryPart[], memoryTokens: number): boolean {
    return this.estimateTokens(engine) + this.#countAdded(engine, parts) <= memoryTokens
  }

  #countAdded (engine: object, parts: readonly MemoryPart[]): number {
    const held = this.#engines.get(engine)?.parts
    return parts.reduce((sum, { key, tokens }) => held?.has(key) === true ? sum : sum + tokens, 0)
  }

  #getOrCreate (engine: object): EngineState {
    const existing = this.#engines.get(engine)
    if (existing !== undefined) return existing
    const created: EngineState = { requests: new Map(), parts: new Map(), tokens: 0, othersCount: 0, toldAtMs: -Infinity }
    this.#engines.set(engine, created)
    return created
  }
}
