import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { MinHeap } from '../minHeap.ts'
import { OverloadGuard } from '../overloadGuard.ts'
import type { OverloadDecision } from '../overloadGuard.ts'

/** A pool that many VMs share, and its callers; times in milliseconds. */
export interface OverloadScenario {
  vms: number
  endpoints: number
  slots: number
  runMs: number
  objectiveMs: number
  deadlineMs: number
  /** Arrivals as a multiple of what the places can run, by time since the start. */
  getLoad (atMs: number): number
  durationMs: number
  /** Whether the VMs refuse nothing. */
  isUnguarded?: boolean
  /** Whether callers return once when they are told to, and how often those return at once that do not wait. */
  returns?: 'never' | 'as told' | 'at once'
  /** Speed of the first endpoint. */
  firstSpeed?: number
  seed: number
}

/** What became of the requests; all shares but `wastedShare` are of what the places could have run, or of the requests if these are fewer. */
export interface OverloadOutcome {
  offered: number
  inTimeShare: number
  servedShare: number
  refused: number
  /** Requests that reached their deadline in a queue, or whose answer came after it. */
  timedOut: number
  /** Share of the runs that ended after their caller's deadline. */
  wastedShare: number
  /** Times after which refused callers may return, in order. */
  returnsMs: number[]
  /** Share served in time of the requests that came in the last two seconds. */
  lastInTimeShare: number
}

interface Request { vm: number, atMs: number, sentAtMs: number, deadlineAtMs: number, tries: number, endpoint: number }

const NETWORK_MS = 1

/** Plays a pool under the clock that `setNow` advances: endpoints queue what they cannot run and tell their load in each response. */
export class OverloadModel {
  readonly #scenario: OverloadScenario
  readonly #setNow: (ms: number) => void
  readonly #rng: Rng
  readonly #events = new MinHeap<() => void>()
  readonly #endpoints: Array<{ running: number, queue: Request[] }>
  readonly #guards: OverloadGuard[]
  /** Requests in flight of each VM at each endpoint. */
  readonly #inFlight: number[][]
  #nowMs = 0
  #offered = 0
  #inTime = 0
  #late = 0
  #timedOut = 0
  #runs = 0
  #wasted = 0
  #refused = 0
  #lastOffered = 0
  #lastInTime = 0
  readonly #returnsMs: number[] = []

  constructor (scenario: OverloadScenario, setNow: (ms: number) => void) {
    this.#scenario = scenario
    this.#setNow = setNow
    this.#rng = createRng(scenario.seed)
    this.#endpoints = Array.from({ length: scenario.endpoints }, () => ({ running: 0, queue: [] }))
    this.#guards = Array.from({ length: scenario.vms }, () => new OverloadGuard())
    this.#inFlight = Array.from({ length: scenario.vms }, () => Array.from({ length: scenario.endpoints }, () => 0))
  }

  run (): OverloadOutcome {
    const { endpoints, slots, runMs, durationMs } = this.#scenario
    this.#schedule(0, () => this.#arrive())
    for (let event = this.#events.pop(); event !== undefined; event = this.#events.pop()) {
      this.#nowMs = event.key
      this.#setNow(event.key)
      event.value()
    }
    const could = Math.min(endpoints * slots * durationMs / runMs, this.#offered)
    return {
      offered: this.#offered,
      inTimeShare: this.#inTime / could,
      servedShare: (this.#inTime + this.#late) / could,
      refused: this.#refused,
      timedOut: this.#timedOut,
      wastedShare: this.#wasted / Math.max(1, this.#runs),
      returnsMs: this.#returnsMs,
      lastInTimeShare: this.#lastInTime / Math.max(1, this.#lastOffered)
    }
  }

  #schedule (delayMs: number, run: () => void): void {
    this.#events.push(this.#nowMs + delayMs, run)
  }

  #arrive (): void {
    const { endpoints, slots, runMs, durationMs, getLoad, deadlineMs, vms } = this.#scenario
    if (this.#nowMs >= durationMs) return
    const ratePerMs = getLoad(this.#nowMs) * endpoints * slots / runMs
    this.#schedule(ratePerMs <= 0 ? 10 : -Math.log(1 - this.#rng.drawFloat()) / ratePerMs, () => this.#arrive())
    if (ratePerMs <= 0) return
    this.#offered++
    if (this.#isLast) this.#lastOffered++
    this.#offer({ vm: this.#rng.drawInt(vms), atMs: this.#nowMs, sentAtMs: 0, deadlineAtMs: this.#nowMs + deadlineMs, tries: 0, endpoint: 0 })
  }

  get #isLast (): boolean {
    return this.#nowMs >= this.#scenario.durationMs - 2_000
  }

  #offer (request: Request): void {
    const { endpoints, slots, vms, objectiveMs, isUnguarded = false } = this.#scenario
    request.tries++
    const decision: OverloadDecision = isUnguarded ? { type: 'admitted' } : this.#guards[request.vm].decide({ slots: endpoints * slots, vmCount: vms, objectiveMs })
    if (decision.type === 'refused') return this.#refuse(request, decision.retryAfterMs)
    const counts = this.#inFlight[request.vm]
    const fewest = Math.min(...counts)
    const choices = counts.flatMap((count, n) => count === fewest ? [n] : [])
    request.endpoint = choices[this.#rng.drawInt(choices.length)]
    request.sentAtMs = this.#nowMs
    counts[request.endpoint]++
    this.#schedule(NETWORK_MS, () => {
      this.#endpoints[request.endpoint].queue.push(request)
      this.#startRuns(request.endpoint)
    })
  }

  #refuse (request: Request, retryAfterMs: number): void {
    this.#returnsMs.push(retryAfterMs)
    const { returns = 'never', vms } = this.#scenario
    const returnMs = returns === 'as told' ? retryAfterMs : 20
    const maxTries = returns === 'at once' ? 4 : returns === 'as told' ? 2 : 1
    if (request.tries >= maxTries || this.#nowMs + returnMs >= request.deadlineAtMs) {
      this.#refused++
      return
    }
    this.#schedule(returnMs, () => this.#offer({ ...request, vm: this.#rng.drawInt(vms) }))
  }

  #startRuns (n: number): void {
    const { slots, runMs, firstSpeed = 1 } = this.#scenario
    const endpoint = this.#endpoints[n]
    while (endpoint.running < slots && endpoint.queue.length > 0) {
      const request = endpoint.queue.shift()!
      if (this.#nowMs > request.deadlineAtMs) {
        this.#timedOut++
        this.#inFlight[request.vm][n]--
        continue
      }
      endpoint.running++
      this.#runs++
      this.#schedule(runMs * (0.8 + 0.4 * this.#rng.drawFloat()) / (n === 0 ? firstSpeed : 1), () => this.#finishRun(n, request))
    }
  }

  #finishRun (n: number, request: Request): void {
    const endpoint = this.#endpoints[n]
    endpoint.running--
    this.#startRuns(n)
    const load = { running: endpoint.running, waiting: endpoint.queue.length, slots: this.#scenario.slots }
    this.#schedule(NETWORK_MS, () => this.#answer(n, request, load))
  }

  #answer (n: number, request: Request, load: { running: number, waiting: number, slots: number }): void {
    this.#inFlight[request.vm][n]--
    const guard = this.#guards[request.vm]
    guard.recordRun(this.#nowMs - request.sentAtMs)
    guard.recordLoad(load)
    if (this.#nowMs > request.deadlineAtMs) {
      this.#wasted++
      this.#timedOut++
      return
    }
    const isInTime = this.#nowMs - request.atMs <= this.#scenario.objectiveMs
    if (isInTime) this.#inTime++
    else this.#late++
    if (isInTime && request.atMs >= this.#scenario.durationMs - 2_000) this.#lastInTime++
  }
}
