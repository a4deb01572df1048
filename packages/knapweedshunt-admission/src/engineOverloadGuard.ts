import type { OrganisationName } from 'knapweedshunt-types'
import { DecayingSum } from './decayingSum.ts'
import { DemandShares } from './demandShares.ts'
import { EngineWait } from './engineWait.ts'
import type { ToldEngineLoad, ToldWeight } from './engineWait.ts'

/** Weight of the newest load in the means, while all is admitted and else: one engine with a long queue must not count for the pool, and an overload is followed steadily. */
const CALM_WEIGHT: ToldWeight = { min: 0.08, max: 0.25 }
const OVERLOADED_WEIGHT: ToldWeight = { min: 0.08, max: 0.12 }

/** Time for which the cost of requests and of those that engines begin is counted, in milliseconds. */
const COUNTED_MS = 1_000

/** What shows an overload: a wait, as a share of the objective; requests that wait at an engine in the mean; the part of the requested cost that engines begin, at most; what they lack, in mean requests. */
const LIMIT_OBJECTIVE_SHARE = 0.5
const MIN_WAITING = 3
const MAX_BEGUN_SHARE = 0.8
const MIN_LACKING_REQUESTS = 4

/** Wait that is aimed at in an overload, as a share of the objective. */
const TARGET_OBJECTIVE_SHARE = 0.15

/** Time in which the admitted share follows what engines begin while the wait exceeds its target by the target, in milliseconds; time in which it grows while the wait is far below its target, and while there is no wait. */
const FOLLOW_MS = 500
const GROW_MS = 3_000
const RECOVER_MS = 400

/** Longest time for which a step of the admitted share counts, in milliseconds, and its bounds; the upper one in parts of what engines begin. */
const MAX_STEP_MS = 1_000
const MIN_ADMITTED_SHARE = 0.02
const MAX_GROWTH = 1.5

/** Part by which less is admitted at once while the wait exceeds its target by the target, more while it is below, and at most. */
const DRAIN_SHARE = 0.8
const MAX_DRAIN_SHARE = 0.8

/** Part of the places and number of waiting requests below which nothing is refused. */
const IDLE_PLACES_SHARE = 0.5
const IDLE_WAITING = 0.5

/** Weight of the newest request in the mean objective and cost. */
const MEAN_WEIGHT = 0.05

/** Part of the predicted wait that must exceed the time left for a request to be refused for its deadline; predictions are that uncertain. */
const DEADLINE_WAIT_SHARE = 0.5

/** Part of the time left after which a refused caller returns at the latest and at the earliest. */
const MAX_RETURN_SHARE = 1 / 3
const MIN_RETURN_SHARE = 1 / 8

/** Fraction of the golden section, whose multiples are spread evenly. */
const SPREAD_STEP = 0.618034

/** A request that is about to be sent to an engine of the pool for the first time. */
export interface EngineRequest {
  /** 0 is served first. */
  priority: number
  organisation: OrganisationName
  /** Part of an engine that the request holds. */
  cost: number
  /** Time within which the first token is on time, in milliseconds. */
  objectiveMs: number
  /** Time until the deadline, in milliseconds. */
  timeLeftMs: number
}

/** Whether a request may be sent; `waitingCount` is the mean number of requests that wait at an engine, to be handed back with the first token. */
export type EngineAdmission =
  | { type: 'admitted', waitingCount: number }
  | { type: 'refused', retryAfterMs: number, limit: 'wait' | 'deadline', predictedWaitMs: number, demandShare: number, admittedShare: number }

/**
 * Load shedding for a pool of engines under sustained overload, bursts, retry storms and organisations that send many times
 * their usual. Each of many VMs learns from its own responses how many requests wait at the engines and how fast these begin
 * them. While the wait stands too high, all VMs admit the same part of their demand, which follows the wait, and divide
 * it by priority and fairly over organisations. Times are on the monotonic clock.
 */
export class EngineOverloadGuard {
  readonly #demand = new DemandShares()
  /** By priority, what requests that were refused were short of an admission. */
  readonly #carries = new Map<number, number>()
  readonly #wait = new EngineWait()
  readonly #requestedCost = new DecayingSum(COUNTED_MS)
  readonly #begunCost = new DecayingSum(COUNTED_MS)
  /** Whether the wait was high with the last load told. */
  #wasWaitHigh = false
  #objectiveMs = 0
  #meanCost = 0
  #admittedShare = 1
  #updatedAtMs = performance.now()
  #spread: number

  /** `seed` is from 0 to 1; VMs with different seeds send callers back at different times. */
  constructor (seed: number) {
    this.#spread = seed
  }

  /** Part of the demand that is admitted. */
  get admittedShare (): number {
    return this.#admittedShare
  }

  /** Predicted wait for an engine, in milliseconds; 0 while it is not known. */
  get predictedWaitMs (): number {
    return this.#wait.predictMs()
  }

  /** Records the load told in a response. */
  recordLoad (load: ToldEngineLoad): void {
    this.#wait.recordLoad(load, this.#admittedShare < 1 ? OVERLOADED_WEIGHT : CALM_WEIGHT)
    this.#wasWaitHigh = this.#isWaitHigh(this.#wait.predictMs())
  }

  /** Records that a request which was admitted is sent. */
  recordSent (): void {
    this.#wait.recordSent()
  }

  /** Records that a request which was sent has ended without a first token. */
  recordLost (): void {
    this.#wait.recordLost()
  }

  /** Records the time to the first token of a request that was sent, its cost and the number of requests that waited when it was admitted. */
  recordFirstToken (firstTokenMs: number, cost: number, waitingCount: number): void {
    this.#begunCost.add(cost, performance.now())
    this.#wait.recordFirstToken(firstTokenMs, waitingCount)
  }

  /** Decides on a request. */
  decide (request: EngineRequest): EngineAdmission {
    const { priority, organisation, cost, objectiveMs, timeLeftMs } = request
    const nowMs = performance.now()
    this.#demand.record(request, cost)
    this.#requestedCost.add(cost, nowMs)
    this.#meanCost += (cost - this.#meanCost) * (this.#meanCost === 0 ? 1 : MEAN_WEIGHT)
    this.#objectiveMs += (objectiveMs - this.#objectiveMs) * (this.#objectiveMs === 0 ? 1 : MEAN_WEIGHT)
    const predictedWaitMs = this.#wait.predictMs()
    const admittedShare = this.#updateAdmittedShare(predictedWaitMs, nowMs)
    const { waitingCount } = this.#wait
    if (admittedShare >= 1) return { type: 'admitted', waitingCount }
    const ownShare = this.#demand.computeAdmittedShare(request, this.#admittedShare, admittedShare)
    const isInTime = predictedWaitMs * DEADLINE_WAIT_SHARE < timeLeftMs
    if (isInTime && (ownShare >= 1 || this.#tryTake(priority, ownShare))) return { type: 'admitted', waitingCount }
    return { type: 'refused', retryAfterMs: this.#spreadReturn(timeLeftMs), limit: isInTime ? 'wait' : 'deadline', predictedWaitMs, demandShare: this.#demand.getDemandShare(organisation), admittedShare: ownShare }
  }

  /** Updates the part of the demand that may be admitted, and returns the part that may be now, while the queues are brought to their length. */
  #updateAdmittedShare (predictedWaitMs: number, nowMs: number): number {
    const elapsedMs = Math.min(MAX_STEP_MS, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = nowMs
    const requestedCost = this.#requestedCost.get(nowMs)
    const begunCost = this.#begunCost.get(nowMs)
    const begunShare = Math.min(1, begunCost / requestedCost)
    if (this.#wait.placesShare < IDLE_PLACES_SHARE && this.#wait.waitingCount < IDLE_WAITING) this.#admittedShare = 1
    if (this.#admittedShare >= 1) {
      const isLacking = begunShare <= MAX_BEGUN_SHARE && requestedCost - begunCost >= MIN_LACKING_REQUESTS * this.#meanCost
      if (!this.#wasWaitHigh || !this.#isWaitHigh(predictedWaitMs) || !isLacking) return 1
      this.#admittedShare = begunShare
    }
    const excess = predictedWaitMs / (TARGET_OBJECTIVE_SHARE * this.#objectiveMs) - 1
    if (predictedWaitMs === 0) this.#admittedShare *= Math.exp(elapsedMs / RECOVER_MS)
    else if (excess < 0) this.#admittedShare *= Math.exp(-excess * elapsedMs / GROW_MS)
    else this.#admittedShare += (begunShare - this.#admittedShare) * Math.min(1, Math.min(1, excess) * elapsedMs / FOLLOW_MS)
    this.#admittedShare = Math.max(MIN_ADMITTED_SHARE, Math.min(1, this.#admittedShare, MAX_GROWTH * begunShare))
    return this.#admittedShare * (1 - Math.min(MAX_DRAIN_SHARE, DRAIN_SHARE * excess))
  }

  #isWaitHigh (predictedWaitMs: number): boolean {
    return this.#objectiveMs > 0 && predictedWaitMs >= LIMIT_OBJECTIVE_SHARE * this.#objectiveMs && this.#wait.waitingCount >= MIN_WAITING
  }

  /** Adds up the shares of the requests of a class and admits each one with which they reach a whole. */
  #tryTake (priority: number, share: number): boolean {
    const carry = (this.#carries.get(priority) ?? 0) + share
    this.#carries.set(priority, carry >= 1 ? carry - 1 : carry)
    return carry >= 1
  }

  #spreadReturn (timeLeftMs: number): number {
    this.#spread = (this.#spread + SPREAD_STEP) % 1
    const share = MIN_RETURN_SHARE + (MAX_RETURN_SHARE - MIN_RETURN_SHARE) * this.#spread
    return Math.max(1, Math.floor(timeLeftMs * share))
  }
}
