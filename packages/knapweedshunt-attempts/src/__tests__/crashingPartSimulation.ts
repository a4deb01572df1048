import { createRng, hashText } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { CrashingPartDetector } from '../crashingPartDetector.ts'
import { partEvidenceSchema } from '../partEvidence.ts'

/** What happens in one simulated deployment; times in milliseconds. */
export interface Scenario {
  seed: number
  vmCount: number
  endpointCount: number
  /** Mean time between two requests with a crashing part, and between two sound ones. */
  crashingIntervalMs: number
  soundIntervalMs: number
  /** Parts under which endpoints crash. */
  crashingParts: string[]
  /** Whether requests with a crashing part also have a rare part each time, the same one. */
  hasCompanion: boolean
  maxAttempts: number
  /** Longest delay until evidence reaches another VM. */
  maxExchangeMs: number
  /** Mean time between two disturbances; null for none. */
  disturbanceIntervalMs: number | null
  durationMs: number
}

/** Time after the fifth crash from which on further sends count, in milliseconds. */
const STABLE_MS = 3_000

/** Time from the end of an attempt until the next one of its request, in milliseconds. */
const RETRY_DELAY_MS = 2

/** Shared parts of sound prompts. */
const FIRST_PARTS = 4
const SECOND_PARTS = 24
const RARE_PARTS = 200

interface Attempt {
  vm: number
  parts: string[]
  startedAtMs: number
  onEnd: (isServed: boolean) => void
}

interface Endpoint {
  name: string
  incarnation: number
  isUp: boolean
  running: Set<Attempt>
}

/** Several VMs in front of endpoints that crash under certain parts of prompts. Runs under the fake clock. */
export class CrashingPartSimulation {
  readonly #scenario: Scenario
  readonly #rng: Rng
  readonly #vms: CrashingPartDetector[]
  readonly #disturbedAtMs: number[]
  readonly #endpoints: Endpoint[]
  /** Times of crashes under a crashing part, by part. */
  readonly #crashTimesMs = new Map<string, number[]>()
  readonly #endAtMs: number
  /** Sends with a crashing part by undisturbed VMs later than {@link STABLE_MS} after its fifth crash. */
  lateSendCount = 0
  crashCount = 0
  soundCount = 0
  soundRefusedCount = 0
  soundServedCount = 0

  constructor (scenario: Scenario) {
    this.#scenario = scenario
    this.#rng = createRng(scenario.seed)
    this.#vms = Array.from({ length: scenario.vmCount }, () => new CrashingPartDetector())
    this.#disturbedAtMs = this.#vms.map(() => -Infinity)
    this.#endpoints = Array.from({ length: scenario.endpointCount }, (_, i) => ({ name: `e${i}`, incarnation: 1, isUp: true, running: new Set() }))
    this.#endAtMs = performance.now() + scenario.durationMs
  }

  /** Schedules all traffic and disturbances; they happen as the clock advances. */
  start (): void {
    const { crashingIntervalMs, soundIntervalMs, disturbanceIntervalMs } = this.#scenario
    this.#repeat(soundIntervalMs, () => this.#sendSound())
    if (this.#scenario.crashingParts.length > 0) setTimeout(() => this.#repeat(crashingIntervalMs, () => this.#sendCrashing()), 2_000)
    if (disturbanceIntervalMs !== null) this.#repeat(disturbanceIntervalMs, () => this.#disturb())
  }

  #repeat (meanMs: number, act: () => void): void {
    if (performance.now() >= this.#endAtMs) return
    setTimeout(() => {
      act()
      this.#repeat(meanMs, act)
    }, Math.max(1, -Math.log(1 - this.#rng.drawFloat()) * meanMs))
  }

  #drawSoundParts (): string[] {
    const parts = [`f${Math.floor(this.#rng.drawFloat() ** 2 * FIRST_PARTS)}`, `s${Math.floor(this.#rng.drawFloat() ** 2 * SECOND_PARTS)}`]
    if (this.#rng.drawFloat() < 0.3) parts.push(`r${this.#rng.drawInt(RARE_PARTS)}`)
    return parts
  }

  #sendSound (): void {
    const parts = this.#drawSoundParts()
    this.soundCount++
    this.#send(this.#rng.drawInt(this.#vms.length), parts, false, this.#scenario.maxAttempts)
  }

  #sendCrashing (): void {
    const { crashingParts, hasCompanion, maxAttempts } = this.#scenario
    const parts = this.#drawSoundParts()
    if (hasCompanion) parts.push('companion')
    parts.splice(this.#rng.drawInt(parts.length + 1), 0, crashingParts[this.#rng.drawInt(crashingParts.length)])
    this.#send(this.#rng.drawInt(this.#vms.length), parts, true, maxAttempts)
  }

  #send (vm: number, parts: string[], isCrashing: boolean, attemptsLeft: number): void {
    if (this.#vms[vm].check(parts).type === 'quarantined') {
      if (!isCrashing) this.soundRefusedCount++
      return
    }
    const up = this.#endpoints.filter(endpoint => endpoint.isUp)
    if (up.length === 0) return
    if (isCrashing) this.#countLateSend(vm, parts)
    const home = up.map(endpoint => ({ endpoint, rank: hashText(parts.at(-1) ?? '', endpoint.name) })).sort((a, b) => a.rank < b.rank ? -1 : 1)[0].endpoint
    const startedAtMs = performance.now()
    const endpoint = `${home.name}@${home.incarnation}`
    const attempt: Attempt = { vm, parts, startedAtMs, onEnd: isServed => this.#endAttempt(vm, parts, endpoint, startedAtMs, isCrashing, attemptsLeft, isServed) }
    home.running.add(attempt)
    const runMs = 20 + this.#rng.drawInt(isCrashing ? 130 : 600)
    setTimeout(() => {
      if (!home.running.has(attempt)) return
      if (isCrashing) {
        const part = parts.find(one => this.#scenario.crashingParts.includes(one)) ?? ''
        this.#crashTimesMs.set(part, [...this.#crashTimesMs.get(part) ?? [], performance.now()])
        this.crashCount++
        this.#crash(home)
        return
      }
      home.running.delete(attempt)
      attempt.onEnd(true)
    }, runMs)
  }

  #endAttempt (vm: number, parts: string[], endpoint: string, startedAtMs: number, isCrashing: boolean, attemptsLeft: number, isServed: boolean): void {
    if (!isServed && attemptsLeft > 1) setTimeout(() => this.#send(vm, parts, isCrashing, attemptsLeft - 1), RETRY_DELAY_MS)
    if (!isServed) return
    this.soundServedCount++
    this.#vms[vm].recordAlive(endpoint, startedAtMs)
    if (this.#vms[vm].recordServed(parts).isAnnounced) this.#exchange(vm)
  }

  #crash (endpoint: Endpoint): void {
    const lost = [...endpoint.running]
    endpoint.running.clear()
    endpoint.isUp = false
    const incarnation = `${endpoint.name}@${endpoint.incarnation++}`
    for (const { vm, parts, startedAtMs } of lost) this.#vms[vm].recordCrash(parts, incarnation, startedAtMs)
    for (const vm of new Set(lost.map(attempt => attempt.vm))) this.#exchange(vm)
    for (const attempt of lost) attempt.onEnd(false)
    setTimeout(() => { endpoint.isUp = true }, 1_000 + this.#rng.drawInt(2_000))
  }

  /** Evidence reaches each other VM after a delay of its own. */
  #exchange (from: number): void {
    const evidence = partEvidenceSchema.parse(JSON.parse(JSON.stringify(this.#vms[from].buildEvidence())))
    const sentAtMs = performance.now()
    this.#vms.forEach((_vm, to) => {
      if (to !== from) setTimeout(() => this.#vms[to].applyEvidence(structuredClone(evidence), performance.now() - sentAtMs), 20 + this.#rng.drawInt(this.#scenario.maxExchangeMs))
    })
  }

  #disturb (): void {
    const kind = this.#rng.drawInt(4)
    if (kind === 0) this.#crash(this.#endpoints[this.#rng.drawInt(this.#endpoints.length)])
    if (kind === 1) for (const endpoint of this.#endpoints) if (this.#rng.drawFloat() < 0.6) this.#crash(endpoint)
    if (kind === 2) this.#resetConnections()
    if (kind === 3) this.#restart(this.#rng.drawInt(this.#vms.length))
  }

  /** All attempts of one VM are lost; the endpoints stay. */
  #resetConnections (): void {
    const vm = this.#rng.drawInt(this.#vms.length)
    this.#disturbedAtMs[vm] = performance.now()
    for (const endpoint of this.#endpoints) {
      const lost = [...endpoint.running].filter(attempt => attempt.vm === vm)
      for (const attempt of lost) endpoint.running.delete(attempt)
      for (const { parts, startedAtMs } of lost) this.#vms[vm].recordCrash(parts, `${endpoint.name}@${endpoint.incarnation}`, startedAtMs)
      for (const attempt of lost) attempt.onEnd(false)
    }
    this.#exchange(vm)
  }

  /** A VM starts again without its memory and reads what it and the others had published. */
  #restart (vm: number): void {
    const own = this.#vms[vm].buildEvidence()
    this.#vms[vm] = new CrashingPartDetector()
    this.#disturbedAtMs[vm] = performance.now()
    this.#vms[vm].applyEvidence(own, 0, true)
    this.#vms.forEach((other, i) => { if (i !== vm) this.#vms[vm].applyEvidence(other.buildEvidence(), 0) })
  }

  #countLateSend (vm: number, parts: string[]): void {
    const part = parts.find(one => this.#scenario.crashingParts.includes(one)) ?? ''
    const fifthAtMs = this.#crashTimesMs.get(part)?.[4] ?? Infinity
    const nowMs = performance.now()
    if (nowMs > fifthAtMs + STABLE_MS && nowMs > this.#disturbedAtMs[vm] + STABLE_MS) this.lateSendCount++
  }
}
