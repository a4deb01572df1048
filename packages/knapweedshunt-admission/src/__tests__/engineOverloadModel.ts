import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { EngineOverloadGuard } from '../engineOverloadGuard.ts'
import { MinHeap } from '../minHeap.ts'

/** Requests of one kind, by one organisation. */
export interface EngineLoad {
  organisation: string
  priority: number
  promptTokens: number
  /** Tokens of the prompt that no engine has cached. */
  readTokens: number
  outputMs: number
  objectiveMs: number
  deadlineMs: number
  /** Arrivals as a multiple of what the pool could run if all were of this kind, by time since the start. */
  getLoad (atMs: number): number
  /** How often refused callers return at once. */
  returns?: number
}

/** A pool of engines that many VMs share; times in milliseconds. */
export interface EngineScenario {
  vms: number
  engines: number
  slots: number
  memoryTokens: number
  tokensPerMs: number
  durationMs: number
  loads: EngineLoad[]
  /** Share of the callers that use the first tenth of the VMs. */
  firstVmsShare?: number
  /** Part of the engines that fall silent after 4 s; VMs stop using them a second later. */
  silentShare?: number
  /** Whether the VMs refuse nothing. */
  isUnguarded?: boolean
  seed: number
}

/** What became of the requests of one load. */
export interface EngineOutcome { offered: number, inTime: number, late: number, refused: number, timedOut: number, returnsMs: number[] }

interface Request { load: EngineLoad, vm: number, atMs: number, sentAtMs: number, waitingCount: number, tries: number, outcome: EngineOutcome }

interface Engine { running: Request[], reading: Request | null, queue: Request[] }

const NETWORK_MS = 1
const SILENT_AT_MS = 4_000
const NOTICED_AT_MS = 5_000

/** What an engine can run of a load, in requests per millisecond: places, memory or reading binds. */
export function computeEngineRate ({ slots, memoryTokens, tokensPerMs }: EngineScenario, { promptTokens, readTokens, outputMs }: EngineLoad): number {
  const readMs = readTokens / tokensPerMs
  return Math.min(Math.min(slots, Math.floor(memoryTokens / promptTokens)) / (readMs + outputMs), 1 / readMs)
}

/** Plays a pool under the clock that `setNow` advances: engines read one prompt at a time, the most urgent first, and begin it if it has a place and its memory. */
export class EngineOverloadModel {
  readonly #scenario: EngineScenario
  readonly #setNow: (ms: number) => void
  readonly #rng: Rng
  readonly #events = new MinHeap<() => void>()
  readonly #engines: Engine[]
  readonly #guards: EngineOverloadGuard[]
  /** Work of each engine as last told to each VM, and what the VM has sent since. */
  readonly #open: number[][]
  #nowMs = 0

  constructor (scenario: EngineScenario, setNow: (ms: number) => void) {
    this.#scenario = scenario
    this.#setNow = setNow
    this.#rng = createRng(scenario.seed)
    this.#engines = Array.from({ length: scenario.engines }, () => ({ running: [], reading: null, queue: [] }))
    this.#guards = Array.from({ length: scenario.vms }, (_, vm) => new EngineOverloadGuard(vm / scenario.vms))
    this.#open = Array.from({ length: scenario.vms }, () => Array.from({ length: scenario.engines }, () => 0))
  }

  run (): EngineOutcome[] {
    const outcomes = this.#scenario.loads.map((): EngineOutcome => ({ offered: 0, inTime: 0, late: 0, refused: 0, timedOut: 0, returnsMs: [] }))
    for (const [n, load] of this.#scenario.loads.entries()) this.#schedule(0, () => this.#arrive(load, outcomes[n], false))
    for (let event = this.#events.pop(); event !== undefined; event = this.#events.pop()) {
      this.#nowMs = event.key
      this.#setNow(event.key)
      event.value()
    }
    return outcomes
  }

  #schedule (delayMs: number, run: () => void): void {
    this.#events.push(this.#nowMs + delayMs, run)
  }

  #arrive (load: EngineLoad, outcome: EngineOutcome, isOffered: boolean): void {
    const { durationMs, engines } = this.#scenario
    if (this.#nowMs >= durationMs) return
    const ratePerMs = load.getLoad(this.#nowMs) * engines * computeEngineRate(this.#scenario, load)
    if (isOffered && ratePerMs > 0) {
      outcome.offered++
      this.#offer({ load, vm: this.#drawVm(), atMs: this.#nowMs, sentAtMs: 0, waitingCount: 0, tries: 0, outcome })
    }
    this.#schedule(ratePerMs <= 0 ? 10 : -Math.log(1 - this.#rng.drawFloat()) / ratePerMs, () => this.#arrive(load, outcome, ratePerMs > 0))
  }

  #offer (request: Request): void {
    const { isUnguarded = false } = this.#scenario
    const { load, vm, atMs, outcome } = request
    const { organisation, priority, objectiveMs, deadlineMs, returns = 0 } = load
    request.tries++
    const admission = this.#guards[vm].decide({ organisation, priority, cost: this.#computeCost(load), objectiveMs, timeLeftMs: atMs + deadlineMs - this.#nowMs })
    if (admission.type === 'refused' && !isUnguarded) {
      outcome.returnsMs.push(admission.retryAfterMs)
      if (request.tries > returns) outcome.refused++
      else this.#schedule(5, () => this.#offer({ ...request, vm: this.#drawVm() }))
      return
    }
    const n = this.#chooseEngine(vm)
    this.#guards[vm].recordSent()
    this.#open[vm][n]++
    const sent = { ...request, sentAtMs: this.#nowMs, waitingCount: admission.type === 'admitted' ? admission.waitingCount : 1 }
    this.#schedule(NETWORK_MS, () => {
      this.#engines[n].queue.push(sent)
      this.#startReading(n)
    })
  }

  #drawVm (): number {
    const { vms, firstVmsShare = 0 } = this.#scenario
    return firstVmsShare > 0 && this.#rng.drawFloat() < firstVmsShare ? this.#rng.drawInt(Math.ceil(vms / 10)) : this.#rng.drawInt(vms)
  }

  #isSilent (n: number): boolean {
    return this.#nowMs >= SILENT_AT_MS && n < this.#engines.length * (this.#scenario.silentShare ?? 0)
  }

  #computeCost ({ promptTokens }: EngineLoad): number {
    return Math.max(1 / this.#scenario.slots, promptTokens / this.#scenario.memoryTokens)
  }

  /** Of three engines, the one with least work as far as the VM knows. */
  #chooseEngine (vm: number): number {
    const first = this.#nowMs >= NOTICED_AT_MS ? Math.ceil(this.#engines.length * (this.#scenario.silentShare ?? 0)) : 0
    const choices = Array.from({ length: 3 }, () => first + this.#rng.drawInt(this.#engines.length - first))
    return choices.reduce((best, n) => this.#open[vm][n] < this.#open[vm][best] ? n : best)
  }

  #startReading (n: number): void {
    const { slots, memoryTokens, tokensPerMs } = this.#scenario
    if (this.#isSilent(n)) return
    const engine = this.#engines[n]
    engine.queue = engine.queue.filter(request => {
      const isGone = this.#nowMs > request.atMs + request.load.deadlineMs
      if (isGone) {
        this.#guards[request.vm].recordLost()
        this.#end(n, request, 'timedOut')
      }
      return !isGone
    })
    if (engine.reading !== null || engine.queue.length === 0 || engine.running.length >= slots) return
    const request = engine.queue.reduce((first, other) => other.load.priority < first.load.priority ? other : first)
    if (engine.running.reduce((sum, { load }) => sum + load.promptTokens, request.load.promptTokens) > memoryTokens) return
    engine.queue.splice(engine.queue.indexOf(request), 1)
    engine.reading = request
    this.#schedule(request.load.readTokens / tokensPerMs * (0.8 + 0.4 * this.#rng.drawFloat()), () => this.#begin(n, request))
  }

  #begin (n: number, request: Request): void {
    if (this.#isSilent(n)) return
    const engine = this.#engines[n]
    const firstTokenAtMs = this.#nowMs
    engine.reading = null
    engine.running.push(request)
    this.#startReading(n)
    const told = { running: engine.running.length, waiting: engine.queue.length + (engine.reading === null ? 0 : 1), slots: this.#scenario.slots }
    this.#schedule(NETWORK_MS, () => {
      const guard = this.#guards[request.vm]
      guard.recordFirstToken(this.#nowMs - request.sentAtMs, this.#computeCost(request.load), request.waitingCount)
      guard.recordLoad(told)
      this.#open[request.vm][n] = told.running + told.waiting
    })
    this.#schedule(request.load.outputMs * (0.5 + this.#rng.drawFloat()), () => {
      engine.running.splice(engine.running.indexOf(request), 1)
      const isLate = firstTokenAtMs - request.atMs > request.load.objectiveMs
      this.#end(n, request, this.#nowMs > request.atMs + request.load.deadlineMs ? 'timedOut' : isLate ? 'late' : 'inTime')
      this.#startReading(n)
    })
  }

  #end (n: number, request: Request, end: 'inTime' | 'late' | 'timedOut'): void {
    request.outcome[end]++
  }
}
