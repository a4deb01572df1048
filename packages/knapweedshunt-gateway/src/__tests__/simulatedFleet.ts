import type { QuarantineLift, QuarantineTarget } from 'knapweedshunt-attempts'
import { MemoryPlatform, MemoryTables } from 'knapweedshunt-fakes'
import type { TablesCopy } from 'knapweedshunt-fakes'
import { ROSTER_KEY, ROSTER_TABLE } from '../directory/rosterRows.ts'
import { liftQuarantine } from '../quarantines/liftQuarantine.ts'
import { CRASHING, CRASHING_PART, SimulatedVm } from './simulatedVm.ts'

/** Time without a disturbance after which a VM, or the store, counts as undisturbed, in milliseconds. */
export const STABLE_MS = 3_000

/** Time from sending a request until its endpoint has crashed, in milliseconds. */
const CRASH_DELAY_MS = 20

/** Number of parts that sound requests share beside the first. */
const SECOND_PARTS = 12

/** Interval of the sound requests of each VM, in milliseconds. */
const SOUND_INTERVAL_MS = 100

/** Number of crashes that a quarantine takes. */
const MIN_CRASHES = 3

/** Time within which an undisturbed VM writes a lost lift again: a full read, two sweeps and a retry, in milliseconds. */
const REWRITE_MS = 8_000

/** Time after a lift up to which a crash may be taken for an earlier one, in milliseconds. */
const LIFT_TOLERANCE_MS = 5_000

/** VMs that share marks of suspect requests through one store, with faults; runs under the fake clock. */
export class SimulatedFleet {
  readonly tables = new MemoryTables()
  readonly vms: SimulatedVm[] = []
  readonly #disturbedAtMs: number[] = []
  readonly #copies: Array<{ atMs: number, copy: TablesCopy }> = []
  #storeDisturbedAtMs = -Infinity
  #incarnationCount = 0
  #sendCount = 0
  /** Number of late sends since the last lift. */
  #lateSendsSinceLift = 0
  /** Times at which endpoints crash under the request, or under a part, since the last lift; in order. */
  #crashTimesMs: number[] = []
  /** Time of the last lift that was asked for; earlier crashes do not count. */
  #liftedAtMs = -Infinity
  #lift: QuarantineLift | null = null
  /** Times since which the store has, or lacks, the last lift or one after it; null if it does not. */
  #liftPresentSinceMs: number | null = null
  #liftAbsentSinceMs: number | null = null
  #thirdCrashAtMs = Infinity
  #partSendCount = 0
  #soundCount = 0
  #stopTraffic: () => void = () => {}
  #fifthPartCrashAtMs = Infinity
  /** Number of times that an undisturbed VM sent a request with the crashing part later than {@link STABLE_MS} after its fifth crash; with lifts the largest number between two of them. */
  latePartSendCount = 0
  /** Number of sound requests that were refused. */
  soundRefusedCount = 0
  /** Number of times that an undisturbed VM refused what was lifted and had crashed fewer than three endpoints since. */
  liftedRefusedCount = 0
  /** Number of times that an undisturbed VM knew a lift which the store had lost long ago. */
  liftLostCount = 0
  /** Number of times that an undisturbed VM sent the crashing request later than {@link STABLE_MS} after its third crash; with lifts the largest number between two of them. */
  lateSendCount = 0

  constructor (vmCount: number) {
    for (let i = 0; i < vmCount; i++) this.restart(i)
  }

  /** Sends a request that crashes its endpoint, unless the VM refuses it. The crash ends harmless requests of the same VM with it. */
  sendCrashingRequest (i: number, neighbourCount: number): void {
    const vm = this.vms[i]
    if (vm.registry.check(CRASHING).type === 'quarantined') return
    const nowMs = performance.now()
    if (nowMs > this.#thirdCrashAtMs + STABLE_MS && this.#isUndisturbed(i)) this.lateSendCount = Math.max(this.lateSendCount, ++this.#lateSendsSinceLift)
    this.#sendCount++
    if (this.#recordCrashTime(nowMs) === 3) this.#thirdCrashAtMs = nowMs + CRASH_DELAY_MS
    const endpoint = `e${this.#sendCount % 3}`
    setTimeout(() => {
      vm.recordCrash(CRASHING, endpoint, nowMs)
      this.crashUnderHarmlessRequests(i, neighbourCount)
    }, CRASH_DELAY_MS)
  }

  /** Each VM serves sound requests; they share their first part with those that crash endpoints. */
  startSoundTraffic (): void {
    const timer = setInterval(() => this.vms.forEach(vm => this.#serveSound(vm)), SOUND_INTERVAL_MS)
    this.#stopTraffic = () => clearInterval(timer)
  }

  /** Sends a request whose prompt has the crashing part, unless the VM refuses it. A sound one runs on the same endpoint and is lost with it. */
  sendCrashingPart (i: number): void {
    const vm = this.vms[i]
    const n = ++this.#partSendCount
    const parts = ['first', `other-${n}`, CRASHING_PART]
    if (vm.partDetector.check(parts).type === 'quarantined') return
    const nowMs = performance.now()
    if (nowMs > this.#fifthPartCrashAtMs + STABLE_MS && this.#isUndisturbed(i)) this.latePartSendCount = Math.max(this.latePartSendCount, ++this.#lateSendsSinceLift)
    if (this.#recordCrashTime(nowMs) === 5) this.#fifthPartCrashAtMs = nowMs + CRASH_DELAY_MS
    setTimeout(() => {
      vm.recordPartCrash(parts, `part-endpoint-${n}`, nowMs)
      vm.recordPartCrash(['first', `second-${n % SECOND_PARTS}`], `part-endpoint-${n}`, nowMs)
    }, CRASH_DELAY_MS)
  }

  /** An operator lifts the quarantine; answers of the store may be lost, and writes without an answer may take effect later. */
  lift (type: QuarantineTarget['type'], loseAnswers: number, applyLate: number): void {
    const platform = new MemoryPlatform(this.tables)
    Object.assign(platform.faults, { loseAnswers, applyLate, lateMs: 3_500 })
    const nowMs = performance.now()
    this.#lateSendsSinceLift = 0
    this.#crashTimesMs = this.#crashTimesMs.filter(atMs => atMs >= nowMs)
    this.#liftedAtMs = nowMs
    this.#lift = null
    this.#liftPresentSinceMs = null
    this.#liftAbsentSinceMs = null
    this.#thirdCrashAtMs = Infinity
    this.#fifthPartCrashAtMs = Infinity
    liftQuarantine(platform, { by: 'operator', reason: 'fuzz', target: type === 'request' ? { type, fingerprint: CRASHING.slice(0, 12) } : { type, part: CRASHING_PART } })
      .then(lift => { if (this.#liftedAtMs === nowMs) this.#lift = lift })
      .catch(() => {}) // A lift that fails after all its attempts is not checked.
  }

  /** Counts a crash; returns the number since the last lift that every VM must count. */
  #recordCrashTime (sentAtMs: number): number {
    this.#crashTimesMs.push(sentAtMs + CRASH_DELAY_MS)
    return this.#crashTimesMs.filter(atMs => atMs > this.#liftedAtMs + LIFT_TOLERANCE_MS).length
  }

  /**
   * Counts the undisturbed VMs that refuse what was lifted, and those that let the store lose the lift. Fewer crashes since
   * the lift than a quarantine takes are no reason to refuse; those of requests that were under way at the lift count.
   */
  checkLifted (): void {
    const lift = this.#lift
    if (lift === null) return
    const nowMs = performance.now()
    const isPresent = this.tables.scan({ table: ROSTER_TABLE, prefix: ROSTER_KEY.lift, limit: 10 }).some(({ value }) => (value as QuarantineLift).atMs >= lift.atMs)
    this.#liftPresentSinceMs = isPresent ? this.#liftPresentSinceMs ?? nowMs : null
    this.#liftAbsentSinceMs = isPresent ? null : this.#liftAbsentSinceMs ?? nowMs
    const isLearnt = nowMs > (this.#liftPresentSinceMs ?? Infinity) + STABLE_MS
    if (isLearnt && this.#crashTimesMs.length < MIN_CRASHES) this.liftedRefusedCount += this.vms.filter((vm, i) => this.#isUndisturbed(i) && vm.isRefusingLifted()).length
    const mustBeBack = nowMs > Math.max(this.#liftAbsentSinceMs ?? Infinity, this.#storeDisturbedAtMs) + REWRITE_MS
    if (mustBeBack) this.liftLostCount += this.vms.filter((vm, i) => vm.learntLiftTimes.has(lift.atMs) && nowMs > this.#disturbedAtMs[i] + REWRITE_MS).length
  }

  #serveSound (vm: SimulatedVm): void {
    const parts = ['first', `second-${++this.#soundCount % SECOND_PARTS}`]
    if (vm.partDetector.check(parts).type === 'quarantined') this.soundRefusedCount++
    else vm.recordPartsServed(parts)
  }

  /** An endpoint crashes under harmless requests of one VM, which are served when they come again. */
  crashUnderHarmlessRequests (i: number, count: number): void {
    const vm = this.vms[i]
    const nowMs = performance.now()
    for (let n = 0; n < count; n++) vm.recordCrash(`harmless-${nowMs}-${n}`, 'e9', nowMs - CRASH_DELAY_MS)
    setTimeout(() => { for (let n = 0; n < count; n++) vm.recordSuccess(`harmless-${nowMs}-${n}`) }, 300)
  }

  /** Kills a VM and starts it again without its memory. */
  restart (i: number): void {
    this.vms[i]?.stop()
    this.vms[i] = new SimulatedVm(this.tables, `vm-${i}`, ++this.#incarnationCount)
    this.#disturbedAtMs[i] = performance.now()
  }

  /** The store answers no VM for a time, either at once with an error or not at all. */
  stopStore (durationMs: number, isSilent: boolean): void {
    this.vms.forEach(vm => vm.setStoreFault(true, isSilent))
    this.#storeDisturbedAtMs = Math.max(this.#storeDisturbedAtMs, performance.now() + durationMs)
    setTimeout(() => this.vms.forEach(vm => vm.setStoreFault(false, isSilent)), durationMs)
  }

  /** One VM does not reach the store for a time. */
  disconnect (i: number, durationMs: number): void {
    const vm = this.vms[i]
    vm.setStoreFault(true, true)
    this.#disturbedAtMs[i] = Math.max(this.#disturbedAtMs[i], performance.now() + durationMs)
    setTimeout(() => { if (this.vms[i] === vm) vm.setStoreFault(false, true) }, durationMs)
  }

  /** Open connections of all VMs to the store go silent; new ones work. */
  silenceConnections (): void {
    for (const vm of this.vms) {
      vm.feed.silenceOpenPolls()
      vm.platform.faults.unansweredWrites = 1
    }
    this.#disturbAll(performance.now())
  }

  /** Answers of the next writes of a VM are lost; `isLate` if they also take effect seconds later. */
  loseAnswers (i: number, count: number, isLate: boolean): void {
    Object.assign(this.vms[i].platform.faults, isLate ? { applyLate: count, lateMs: 3_500 } : { loseAnswers: count })
    this.#storeDisturbedAtMs = Math.max(this.#storeDisturbedAtMs, performance.now() + (isLate ? 3_500 : 0))
  }

  /** Remembers the store's tables, to which {@link restoreStore} may return. */
  copyStore (): void {
    this.#copies.push({ atMs: performance.now(), copy: this.tables.copy() })
  }

  /** The store is away for a moment and returns from the newest copy that is at least this old. */
  restoreStore (minAgeMs: number): void {
    const copy = this.#copies.findLast(({ atMs }) => atMs <= performance.now() - minAgeMs)
    if (copy === undefined) return
    this.stopStore(300, false)
    setTimeout(() => this.tables.restore(copy.copy), 150)
  }

  stop (): void {
    this.#stopTraffic()
    for (const vm of this.vms) vm.stop()
  }

  #disturbAll (untilMs: number): void {
    this.vms.forEach((_vm, i) => { this.#disturbedAtMs[i] = Math.max(this.#disturbedAtMs[i], untilMs) })
  }

  #isUndisturbed (i: number): boolean {
    return performance.now() > Math.max(this.#storeDisturbedAtMs, this.#disturbedAtMs[i]) + STABLE_MS
  }
}
