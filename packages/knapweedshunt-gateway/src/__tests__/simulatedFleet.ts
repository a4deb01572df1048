import { CrashingPartDetector, SuspectRegistry } from 'knapweedshunt-attempts'
import type { SuspectMark } from 'knapweedshunt-attempts'
import { MemoryFeed, MemoryPlatform, MemoryTables } from 'knapweedshunt-fakes'
import type { TablesCopy } from 'knapweedshunt-fakes'
import { DEFAULT_GUARDED_PLATFORM_OPTIONS, DEFAULT_TABLE_FOLLOWER_OPTIONS, GuardedPlatform, TableFollower } from 'knapweedshunt-platform'
import { SUSPECT_OPTIONS } from '../directory/suspectOptions.ts'
import { ROSTER_TABLE } from '../directory/rosterRows.ts'
import { ROSTER_POLL_WAIT_MS, VmRoster } from '../directory/vmRoster.ts'

/** Time without a disturbance after which a VM, or the store, counts as undisturbed, in milliseconds. */
export const STABLE_MS = 3_000

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

/** Time from sending a request until its endpoint has crashed, in milliseconds. */
const CRASH_DELAY_MS = 20

/** Fingerprint of the request that crashes endpoints. */
const CRASHING = 'crashing'

/** Part of prompts that crashes endpoints. */
const CRASHING_PART = 'bad'

/** Number of parts that sound requests share beside the first. */
const SECOND_PARTS = 12

/** Time for which cleared parts are gathered before they are announced, in milliseconds. */
const CLEARING_DELAY_MS = 500

/** Interval of the sound requests of each VM, in milliseconds. */
const SOUND_INTERVAL_MS = 100

const STORE_TIMEOUT_MS = 700

/** One VM with its own view of the shared store. */
class SimulatedVm {
  readonly platform: MemoryPlatform
  readonly feed: MemoryFeed
  readonly registry = new SuspectRegistry(SUSPECT_OPTIONS)
  readonly partDetector = new CrashingPartDetector()
  readonly roster: VmRoster
  readonly #abort = new AbortController()

  constructor (tables: MemoryTables, name: string, incarnation: number) {
    this.platform = new MemoryPlatform(tables)
    this.feed = new MemoryFeed(tables)
    const guarded = new GuardedPlatform(this.platform, { ...DEFAULT_GUARDED_PLATFORM_OPTIONS, timeoutMs: STORE_TIMEOUT_MS, seed: incarnation })
    this.roster = new VmRoster({
      platform: guarded,
      self: { vm: name, incarnation: `${name}@${incarnation}`, dataCentre: 'z' },
      log: LOG,
      signal: this.#abort.signal,
      onMark: ({ mark }) => this.registry.applyMark(mark),
      buildPartEvidence: () => this.partDetector.buildEvidence(),
      onPartEvidence: ({ evidence, ageMs, isOwn }) => { this.partDetector.applyEvidence(evidence, ageMs, isOwn) },
      onLimitReport: () => {},
      onPoolVersions: () => {},
      onMarkEvicted: () => {},
      onUnwritten: () => {},
      onUnreadable: () => {},
      onWaveNotice: () => {}
    })
    const follower = new TableFollower(this.feed, { ...DEFAULT_TABLE_FOLLOWER_OPTIONS, table: ROSTER_TABLE, waitMs: ROSTER_POLL_WAIT_MS, seed: incarnation }, LOG, update => this.roster.applyUpdate(update))
    follower.run(this.#abort.signal).catch(() => {})
    this.roster.announceSelf(null)
  }

  recordCrash (fingerprint: string, endpoint: string, startedAtMs: number): void {
    this.#announce(this.registry.recordCrash(fingerprint, endpoint, startedAtMs))
  }

  recordSuccess (fingerprint: string): void {
    const cleared = this.registry.recordSuccess(fingerprint)
    if (cleared !== null) this.#announce(cleared)
  }

  recordPartCrash (parts: string[], endpoint: string, startedAtMs: number): void {
    this.partDetector.recordCrash(parts, endpoint, startedAtMs)
    this.roster.announceParts()
  }

  recordPartsServed (parts: string[]): void {
    if (this.partDetector.recordServed(parts).isAnnounced) setTimeout(() => this.roster.announceParts(), CLEARING_DELAY_MS)
  }

  stop (): void {
    this.#abort.abort()
    this.feed.faults.isSilent = true
    this.platform.faults.silent = true
  }

  #announce (mark: SuspectMark): void {
    this.roster.announceMark(mark)
  }
}

/** VMs that share marks of suspect requests through one store, with faults; runs under the fake clock. */
export class SimulatedFleet {
  readonly tables = new MemoryTables()
  readonly vms: SimulatedVm[] = []
  readonly #disturbedAtMs: number[] = []
  readonly #copies: Array<{ atMs: number, copy: TablesCopy }> = []
  #storeDisturbedAtMs = -Infinity
  #incarnationCount = 0
  #sendCount = 0
  #thirdCrashAtMs = Infinity
  #partSendCount = 0
  #partCrashCount = 0
  #soundCount = 0
  #stopTraffic: () => void = () => {}
  #fifthPartCrashAtMs = Infinity
  /** Number of times that an undisturbed VM sent a request with the crashing part later than {@link STABLE_MS} after its fifth crash. */
  latePartSendCount = 0
  /** Number of sound requests that were refused. */
  soundRefusedCount = 0
  /** Number of times that an undisturbed VM sent the crashing request later than {@link STABLE_MS} after its third crash. */
  lateSendCount = 0

  constructor (vmCount: number) {
    for (let i = 0; i < vmCount; i++) this.restart(i)
  }

  /** Sends a request that crashes its endpoint, unless the VM refuses it. The crash ends harmless requests of the same VM with it. */
  sendCrashingRequest (i: number, neighbourCount: number): void {
    const vm = this.vms[i]
    if (vm.registry.check(CRASHING).type === 'quarantined') return
    const nowMs = performance.now()
    if (nowMs > this.#thirdCrashAtMs + STABLE_MS && this.#isUndisturbed(i)) this.lateSendCount++
    this.#sendCount++
    if (this.#sendCount === 3) this.#thirdCrashAtMs = nowMs + CRASH_DELAY_MS
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
    if (nowMs > this.#fifthPartCrashAtMs + STABLE_MS && this.#isUndisturbed(i)) this.latePartSendCount++
    setTimeout(() => {
      vm.recordPartCrash(parts, `part-endpoint-${n}`, nowMs)
      vm.recordPartCrash(['first', `second-${n % SECOND_PARTS}`], `part-endpoint-${n}`, nowMs)
      this.#partCrashCount++
      if (this.#partCrashCount === 5) this.#fifthPartCrashAtMs = performance.now()
    }, CRASH_DELAY_MS)
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
    this.vms.forEach(vm => setStoreFault(vm, true, isSilent))
    this.#storeDisturbedAtMs = Math.max(this.#storeDisturbedAtMs, performance.now() + durationMs)
    setTimeout(() => this.vms.forEach(vm => setStoreFault(vm, false, isSilent)), durationMs)
  }

  /** One VM does not reach the store for a time. */
  disconnect (i: number, durationMs: number): void {
    const vm = this.vms[i]
    setStoreFault(vm, true, true)
    this.#disturbedAtMs[i] = Math.max(this.#disturbedAtMs[i], performance.now() + durationMs)
    setTimeout(() => { if (this.vms[i] === vm) setStoreFault(vm, false, true) }, durationMs)
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

function setStoreFault (vm: SimulatedVm, isActive: boolean, isSilent: boolean): void {
  vm.platform.faults[isSilent ? 'silent' : 'down'] = isActive
  vm.feed.faults[isSilent ? 'isSilent' : 'isDown'] = isActive
}
