import type { Clock } from '@sinonjs/fake-timers'
import { createRng, hashText } from 'knapweedshunt-utils'
import { EndpointChooser } from '../endpoints/endpointChooser.ts'
import { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { Prompt } from '../ports/callerCall.ts'

const SLOTS = 6

/** Time for which an answer is under way to its VM, in milliseconds. */
const ANSWER_MS = 5

/** Work and rate of a pool, and how many VMs use it. */
export interface UnevenPoolOptions {
  vmCount: number
  /** Relative run time of each endpoint. */
  slowdowns: number[]
  /** Time that one request occupies an endpoint of the usual speed, in milliseconds. */
  workMs: number
  /** Prompt of the requests with a number; null for a plain service. */
  buildPrompt (n: number): Prompt | null
  /** Whether endpoints state their run time. */
  isStated: boolean
}

/** VMs that each see the answers to their own requests only, and endpoints that work off what they get. */
export class UnevenPool {
  readonly slowdowns: number[]
  /** Work ahead of a new request at each endpoint, in milliseconds. */
  readonly waitsMs: number[]
  readonly counts: number[]
  readonly #options: UnevenPoolOptions
  readonly #clock: Clock
  readonly #rng = createRng(7)
  readonly #vms: Array<{ chooser: EndpointChooser, registry: EndpointRegistry }>
  #requestNumber = 0

  constructor (options: UnevenPoolOptions, clock: Clock) {
    this.#options = options
    this.#clock = clock
    this.slowdowns = [...options.slowdowns]
    this.waitsMs = options.slowdowns.map(() => 0)
    this.counts = options.slowdowns.map(() => 0)
    this.#vms = Array.from({ length: options.vmCount }, (_, n) => this.#createVm(n + 1))
  }

  /** Sends requests at a share of what the endpoints can do together. */
  run (share: number, forMs: number): void {
    const capacityPerMs = this.slowdowns.reduce((sum, slowdown) => sum + 1 / slowdown, 0) / this.#options.workMs
    let due = 0
    for (let ms = 0; ms < forMs; ms++) {
      this.#clock.tick(1)
      for (const i of this.waitsMs.keys()) this.waitsMs[i] = Math.max(0, this.waitsMs[i] - 1)
      for (due += share * capacityPerMs; due >= 1; due--) this.sendOne()
    }
  }

  /** Sends a request by a VM drawn at random. */
  sendOne (): void {
    const { workMs, buildPrompt } = this.#options
    const { chooser, registry } = this.#vms[this.#rng.drawInt(this.#vms.length)]
    const n = this.#requestNumber++
    const prompt = buildPrompt(n)
    const levels = prompt === null ? [] : [{ key: hashText(prompt.parts[0].id), tokens: prompt.parts[0].tokens }]
    const choice = chooser.choose({ pool: 'p', levels, triedEndpoints: [], prompt, softwareVersion: null, acceptsVersion: null, scope: { type: 'untriedFirst' }, mustYieldLimits: false })
    if (choice.type !== 'chosen') throw new Error(choice.type)
    const { record, decision } = choice
    const i = Number(record.entry.endpoint.slice(1))
    const tookMs = workMs * this.slowdowns[i]
    this.counts[i]++
    this.waitsMs[i] += tookMs
    const tokens = prompt === null ? 0 : prompt.tokens
    record.recordPromptTokens(tokens)
    const startedAtMs = performance.now() + n / 1e9
    record.headDelays.recordStart(startedAtMs)
    chooser.placement.handleEvent({ type: 'started', attempt: String(n), endpoint: record.entry.endpoint, tokens, levels, decision })
    setTimeout(() => {
      record.headDelays.recordHead(startedAtMs)
      chooser.placement.handleEvent({ type: 'finished', attempt: String(n), cachedTokens: decision.expectedCachedTokens ?? 0 })
      if (registry.find(record.entry.endpoint) === record) this.#recordAnswer(chooser, record, i)
    }, this.waitsMs[i] + ANSWER_MS)
  }

  /** All VMs hear from an endpoint at the same moment. */
  announce (i: number, slowdown: number): void {
    for (const { chooser, registry } of this.#vms) {
      const record = registry.find(`e${i}`)
      if (record !== undefined) chooser.recordLoad(record, { running: 1, waiting: 0, slots: SLOTS, slowdown })
    }
  }

  #recordAnswer (chooser: EndpointChooser, record: EndpointRecord, i: number): void {
    const requests = Math.floor(this.waitsMs[i] / this.#options.workMs / this.slowdowns[i])
    const slowdown = this.slowdowns[i] * (0.9 + 0.2 * this.#rng.drawFloat())
    chooser.recordLoad(record, { running: Math.min(SLOTS, requests), waiting: Math.max(0, requests - SLOTS), slots: SLOTS, slowdown: this.#options.isStated ? slowdown : null })
  }

  #createVm (seed: number): { chooser: EndpointChooser, registry: EndpointRegistry } {
    const registry = new EndpointRegistry(() => {}, () => {}, () => {})
    const models = this.#options.buildPrompt(0) === null ? [] : ['m']
    const pool = { pool: 'p', maxConnections: 10_000, models, healthPath: '/', memoryTokens: null }
    const chooser = new EndpointChooser({
      dataCentre: 'z',
      nearDataCentres: ['z'],
      seed,
      endpointRegistry: registry,
      listPools: () => [pool],
      findPool: () => pool,
      countVms: () => this.#options.vmCount,
      endpointPermits: { findLimit: () => null, getOwnRatePerS: () => 0, getWaitMs: () => 0, tryTake: () => true },
      listLoadingEndpoints: () => new Set(),
      findTargetVersion: () => null,
      findMinCurrentVersion: () => 0,
      findMinAllowedVersion: () => 0,
      findPauseObjectiveMs: () => 400,
      onDivided: () => {}
    })
    registry.applySnapshot(this.#options.slowdowns.map((_, n) => ({ endpoint: `e${n}`, incarnation: `e${n}@1`, pool: 'p', address: '127.0.0.1:1', dataCentre: 'z', slots: SLOTS, isDraining: false, softwareVersion: 'v1', models: models.map(model => ({ model, version: 1 })) })), [], null)
    chooser.rebuild()
    return { chooser, registry }
  }
}
