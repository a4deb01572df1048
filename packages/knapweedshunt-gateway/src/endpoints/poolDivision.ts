import { DecayingSum } from './decayingSum.ts'

/** Time constant of the demand of each kind, in milliseconds. */
const DEMAND_MS = 3_000

/** Time without a request after which a kind needs no endpoints of its own, in milliseconds. */
const KIND_IDLE_MS = 5_000

/** Share of the engines' time for computing prompts from which a pool is divided though its short prompts are less urgent, and below which it is not any more; the rest of their time is for generating tokens. */
const DIVIDED_UTILISATION = 0.4
const UNDIVIDED_UTILISATION = 0.25

/** Utilisation for which the side of the more urgent kind is planned; a short prompt waits less behind others of its size. */
const TARGET_UTILISATION = { short: 0.5, long: 0.35 } as const

/** Greatest share of a pool for one kind while both arrive. */
const MAX_SHARE = 0.9

/** Share of the smaller side by which the wanted share must differ from the one in force to change it, and the same when the more urgent kind needs more. */
const HYSTERESIS_SHARE = 0.25
const URGENT_HYSTERESIS_SHARE = 0.05

/** The two kinds of prompts that hold each other up. */
export const PROMPT_KIND = { short: 'short', long: 'long' } as const

/** One of {@link PROMPT_KIND}. */
export type PromptKind = typeof PROMPT_KIND[keyof typeof PROMPT_KIND]

interface KindDemand {
  engineMs: DecayingSum
  arrivedAtMs: number
  /** Priority of the latest request; 0 is served first. */
  priority: number
}

/** Divides the engines of one pool between short and long prompts, by the time for computing the prompts of each kind: at all times if the short ones are at least as urgent, as long ones pause their streams, else while the pool has much to do. */
export class PoolDivision {
  readonly #kinds: Record<PromptKind, KindDemand> = { short: createDemand(), long: createDemand() }
  #isDivided = false
  #shortShare = 0
  #utilisation = 0

  /** Whether the kinds have engines of their own. */
  get isDivided (): boolean {
    return this.#isDivided
  }

  /** Share of the engines' time for computing the prompts of both kinds, by what this VM gets. */
  get utilisation (): number {
    return this.#utilisation
  }

  /** Whether requests of a kind may use the other side when theirs has no free place. */
  maySpill (kind: PromptKind): boolean {
    const { short, long } = this.#kinds
    return kind === PROMPT_KIND.short && short.priority <= long.priority
  }

  /** Records that a request arrived. */
  recordArrival (kind: PromptKind, nowMs: number): void {
    this.#kinds[kind].arrivedAtMs = nowMs
  }

  /** Records the time that an engine is expected to take for a prompt, in milliseconds. */
  recordDemand (kind: PromptKind, priority: number, engineMs: number, nowMs: number): void {
    this.#kinds[kind].priority = priority
    this.#kinds[kind].engineMs.add(engineMs, nowMs)
  }

  /** Updates whether and how the pool is divided, by the capacity of all its engines. */
  update (capacity: number, vmCount: number, nowMs: number): void {
    const { short, long } = this.#kinds
    const shortUtilisation = short.engineMs.compute(nowMs) / DEMAND_MS * vmCount / capacity
    const longUtilisation = long.engineMs.compute(nowMs) / DEMAND_MS * vmCount / capacity
    this.#utilisation = shortUtilisation + longUtilisation
    const hasBoth = nowMs - Math.min(short.arrivedAtMs, long.arrivedAtMs) < KIND_IDLE_MS
    const isLoaded = this.#utilisation >= (this.#isDivided ? UNDIVIDED_UTILISATION : DIVIDED_UTILISATION)
    this.#isDivided = hasBoth && (isLoaded || short.priority <= long.priority)
    if (!this.#isDivided) return
    const wantedShare = this.#computeWantedShare(shortUtilisation, longUtilisation)
    if (this.#isClearlyOther(wantedShare)) this.#shortShare = wantedShare
  }

  /** Counts the engines for short prompts, which come first in the order of capacities: at least one, and not all. */
  countShort (capacities: readonly number[]): number {
    const wanted = capacities.reduce((sum, capacity) => sum + capacity, 0) * this.#shortShare
    let count = 0
    for (let sum = 0; count < capacities.length && sum + capacities[count] / 2 < wanted; count++) sum += capacities[count]
    return Math.min(capacities.length - 1, Math.max(1, count))
  }

  #isClearlyOther (wantedShare: number): boolean {
    const more = wantedShare - this.#shortShare
    const urgentMore = Math.sign(this.#kinds.long.priority - this.#kinds.short.priority) * more
    return Math.abs(more) > Math.min(this.#shortShare, 1 - this.#shortShare) * (urgentMore > 0 ? URGENT_HYSTERESIS_SHARE : HYSTERESIS_SHARE)
  }

  /** The more urgent kind gets what it needs first; with equal priorities the short prompts do, or both in proportion when that is too much. */
  #computeWantedShare (shortUtilisation: number, longUtilisation: number): number {
    const total = shortUtilisation + longUtilisation
    const { short, long } = this.#kinds
    if (short.priority === long.priority) return shortUtilisation / Math.max(total, TARGET_UTILISATION.short)
    if (short.priority < long.priority) return Math.min(MAX_SHARE, shortUtilisation / TARGET_UTILISATION.short)
    return Math.max(1 - MAX_SHARE, 1 - longUtilisation / Math.min(total, TARGET_UTILISATION.long))
  }
}

function createDemand (): KindDemand {
  return { engineMs: new DecayingSum(DEMAND_MS), arrivedAtMs: -Infinity, priority: 0 }
}
