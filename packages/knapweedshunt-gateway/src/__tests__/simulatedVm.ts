import { CrashingPartDetector, SuspectRegistry } from 'knapweedshunt-attempts'
import type { QuarantineTarget, SuspectMark } from 'knapweedshunt-attempts'
import { MemoryFeed, MemoryPlatform } from 'knapweedshunt-fakes'
import type { MemoryTables } from 'knapweedshunt-fakes'
import { runEvery } from 'knapweedshunt-utils'
import { DEFAULT_GUARDED_PLATFORM_OPTIONS, DEFAULT_TABLE_FOLLOWER_OPTIONS, GuardedPlatform, TableFollower } from 'knapweedshunt-platform'
import { QuarantineLifts } from '../directory/quarantineLifts.ts'
import { SUSPECT_OPTIONS } from '../directory/suspectOptions.ts'
import { ROSTER_TABLE } from '../directory/rosterRows.ts'
import { ROSTER_POLL_WAIT_MS, VmRoster } from '../directory/vmRoster.ts'

/** Fingerprint of the request that crashes endpoints. */
export const CRASHING = 'c4a5'.repeat(16)

/** Part of prompts that crashes endpoints. */
export const CRASHING_PART = 'bad'

/** Time for which cleared parts are gathered before they are announced, in milliseconds. */
const CLEARING_DELAY_MS = 500

const STORE_TIMEOUT_MS = 700

/** Interval at which VMs write again what the store has lost, in milliseconds. */
const SWEEP_INTERVAL_MS = 2_000

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

/** One VM with its own view of the shared store. */
export class SimulatedVm {
  readonly platform: MemoryPlatform
  readonly feed: MemoryFeed
  readonly registry = new SuspectRegistry(SUSPECT_OPTIONS)
  readonly partDetector = new CrashingPartDetector()
  readonly roster: VmRoster
  readonly lifts: QuarantineLifts
  readonly learntLiftTimes = new Set<number>()
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
      onMark: ({ mark, ageMs }) => this.registry.applyMark(mark, ageMs),
      buildPartEvidence: () => this.partDetector.buildEvidence(),
      onPartEvidence: ({ evidence, ageMs, isOwn }) => { this.partDetector.applyEvidence(evidence, ageMs, isOwn) },
      onLimitReport: () => {},
      onPoolVersions: () => {},
      onMarkEvicted: () => {},
      onUnwritten: () => {},
      onUnreadable: () => {},
      onWaveNotice: () => {}
    })
    this.lifts = new QuarantineLifts({
      platform: guarded,
      isSharedWriter: () => this.roster.isSharedWriter,
      onLift: ({ lift: { atMs, target }, liftedAtMs }) => {
        this.learntLiftTimes.add(atMs)
        this.#applyLift(target, liftedAtMs)
      },
      onLost: () => {},
      onUnreadable: () => {},
      onUnwritten: () => {}
    })
    runEvery(SWEEP_INTERVAL_MS, this.#abort.signal, () => this.lifts.sweep()).catch(() => {})
    const follower = new TableFollower(this.feed, { ...DEFAULT_TABLE_FOLLOWER_OPTIONS, table: ROSTER_TABLE, waitMs: ROSTER_POLL_WAIT_MS, seed: incarnation }, LOG, update => {
      this.roster.applyUpdate(update)
      this.lifts.applyUpdate(update)
    })
    follower.run(this.#abort.signal).catch(() => {})
    this.roster.announceSelf(null)
  }

  /** Whether the VM refuses the crashing request, or requests with the crashing part. */
  isRefusingLifted (): boolean {
    return this.registry.check(CRASHING).type === 'quarantined' || this.partDetector.check(['first', CRASHING_PART]).type === 'quarantined'
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

  /** The store stops, or begins again, to answer this VM: with an error at once, or not at all. */
  setStoreFault (isActive: boolean, isSilent: boolean): void {
    this.platform.faults[isSilent ? 'silent' : 'down'] = isActive
    this.feed.faults[isSilent ? 'isSilent' : 'isDown'] = isActive
  }

  #applyLift (target: QuarantineTarget, liftedAtMs: number): void {
    if (target.type === 'request') {
      for (const fingerprint of this.registry.lift(target.fingerprint, liftedAtMs)) if (this.registry.check(fingerprint).type === 'clear') this.roster.removeMark(fingerprint)
      return
    }
    const { quarantines, reportCount } = this.partDetector.lift(target.part, liftedAtMs)
    if (quarantines.length > 0 || reportCount > 0) this.roster.announceParts()
  }

  stop (): void {
    this.#abort.abort()
    this.setStoreFault(true, true)
  }

  #announce (mark: SuspectMark): void {
    this.roster.announceMark(mark)
  }
}
