import type { WaveDecision, WaveEndpoint, WaveGoal, WaveNotice, WavePorts } from 'knapweedshunt-fleet'
import type { EndpointName } from 'knapweedshunt-types'
import type { VmRoster } from '../directory/vmRoster.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { ManagementPort } from '../ports/managementPort.ts'
import type { TargetWeights } from '../ports/directoryPort.ts'

/** Age of a wave's notice from which on its endpoints are used again, in milliseconds: the lease holder is gone by then. */
const MAX_NOTICE_AGE_MS = 4_000

/** Time before the limit for replaced weights from which on no request is sent to them, in milliseconds. It covers the network and the queue at an endpoint, where a long prompt ahead takes over a second. */
export const SEND_MARGIN_MS = 1_500

/** Time before that limit at which requests that were sent and have not begun are withdrawn, in milliseconds. It covers the network, the interval of the checks and an event loop that is late. */
const WITHDRAWAL_MARGIN_MS = 600

/** Time for which requests may go on to weights that a full read of the table shows to be replaced, in milliseconds: they may have been replaced long ago, or just now for all VMs. */
const UNKNOWN_AGE_LEFT_MS = 2_000

/** Time for which replaced weights still count as current, in milliseconds; after that, the users value responses from replaced weights less. */
const CURRENT_GRACE_MS = 1_500

/** Maximum number of target versions held per model. */
const MAX_TARGET_HISTORY = 16

/** A target version of a model. Times are on the monotonic clock, and negative for what happened before this VM started. */
interface TargetVersion {
  version: number
  /** Time at which it was set, as far as is known or has to be assumed. */
  atMs: number
  /** Time at which it had been set for certain. */
  knownAtMs: number
}

/** How long a version of a model's weights has been replaced. */
export interface WeightsReplacement {
  /** Time since the oldest newer target version was set, in milliseconds. */
  replacedMs: number
  /** Time for which a request may still be sent to an endpoint with the replaced version, in milliseconds; negative once that is over. */
  leftMs: number
}

/** Dependencies of {@link WeightsState}. */
export interface WeightsStateDependencies {
  /** Returns the time after which no request may be sent to a replaced version, in milliseconds: the limit for its start, less {@link SEND_MARGIN_MS}. */
  getMaxStaleMs (): number
  /** Name of this VM as lease holder; endpoints receive it with each load command. */
  holder: string
  endpointRegistry: EndpointRegistry
  roster: VmRoster
  managementPort: ManagementPort
  /** Counts a call to the endpoint; false if the endpoint may not be sent one now. */
  tryTakePermit (record: EndpointRecord): boolean
  recordDecision (decision: WaveDecision): void
  /** Called when an endpoint is known to serve a newer version. */
  onServedVersion (): void
}

/** Target versions of weights and the versions that endpoints serve, and the calls by which waves roll the targets out. */
export class WeightsState {
  readonly #dependencies: WeightsStateDependencies
  readonly #targets = new Map<string, number>()
  /** Target versions seen by this VM, newest first. */
  readonly #targetHistory = new Map<string, TargetVersion[]>()

  constructor (dependencies: WeightsStateDependencies) {
    this.#dependencies = dependencies
  }

  /** Applies a target version; one that is not newer is ignored. `isNew` is true when it was set just now, false when that time is unknown, as after a full read of the table. Returns whether it was applied. */
  applyTarget ({ model, version }: TargetWeights, isNew: boolean): boolean {
    if ((this.#targets.get(model) ?? 0) >= version) return false
    this.#targets.set(model, version)
    const nowMs = performance.now()
    const history = this.#targetHistory.get(model) ?? []
    const assumedAtMs = isNew ? nowMs : nowMs - Math.max(0, this.#dependencies.getMaxStaleMs() - UNKNOWN_AGE_LEFT_MS)
    // A version is set after the ones before it.
    this.#targetHistory.set(model, [{ version, atMs: Math.max(assumedAtMs, history[0]?.atMs ?? -Infinity), knownAtMs: nowMs }, ...history].slice(0, MAX_TARGET_HISTORY))
    for (const notice of this.#dependencies.roster.listWaveNotices()) this.applyVersionAge(notice, this.#dependencies.roster.findWaveNotice(notice.pool)?.ageMs)
    return true
  }

  /** Applies the age of a version by a wave's notice, which reaches VMs that did not see the version being set. The notice may be older than it seems, so that the age is a least one. */
  applyVersionAge ({ model, version, versionAgeMs }: WaveNotice, noticeAgeMs = 0): void {
    const target = this.#targetHistory.get(model)?.find(one => one.version === version)
    if (target === undefined || versionAgeMs === undefined) return
    target.knownAtMs = Math.min(target.knownAtMs, performance.now() - noticeAgeMs - versionAgeMs)
    target.atMs = Math.min(target.atMs, target.knownAtMs)
  }

  /** Oldest version to which a request may still be sent, if its response begins after the delay given, in milliseconds; 0 when any may be used. */
  findMinAllowedVersion (model: string, headDelayMs = 0): number {
    const queuedMs = Math.max(0, headDelayMs - (SEND_MARGIN_MS - WITHDRAWAL_MARGIN_MS))
    return this.#findTargetAtAge(model, this.#dependencies.getMaxStaleMs() - queuedMs)
  }

  /** Oldest version on which a request that was sent may still begin; 0 when any may be used. */
  findMinBeginVersion (model: string): number {
    return this.#findTargetAtAge(model, this.#dependencies.getMaxStaleMs() + SEND_MARGIN_MS - WITHDRAWAL_MARGIN_MS)
  }

  /** Oldest version that still counts as current; 0 when any does. */
  findMinCurrentVersion (model: string): number {
    return this.#findTargetAtAge(model, CURRENT_GRACE_MS)
  }

  /** Newest target version set at least `ageMs` ago; 0 when there is none. */
  #findTargetAtAge (model: string, ageMs: number): number {
    const sinceMs = performance.now() - ageMs
    return this.#targetHistory.get(model)?.find(target => target.atMs <= sinceMs)?.version ?? 0
  }

  /** Returns how long a version has been replaced; null while it is the newest one. */
  findReplacement (model: string, version: number): WeightsReplacement | null {
    const replacedBy = this.#targetHistory.get(model)?.findLast(target => target.version > version)
    if (replacedBy === undefined) return null
    const replacedMs = performance.now() - replacedBy.atMs
    return { replacedMs, leftMs: this.#dependencies.getMaxStaleMs() - replacedMs }
  }

  /** Target version of a model; null when none is set. */
  findTargetVersion (model: string): number | null {
    return this.#targets.get(model) ?? null
  }

  /** Lists the endpoints that load weights or are about to, except those known to serve them. */
  listLoadingEndpoints (): Set<EndpointName> {
    const loading = new Set<EndpointName>()
    for (const notice of this.#dependencies.roster.listWaveNotices()) {
      const received = this.#dependencies.roster.findWaveNotice(notice.pool)
      if (received === null || received.ageMs > MAX_NOTICE_AGE_MS || (this.findTargetVersion(notice.model) ?? 0) > notice.version + 1) continue
      for (const name of notice.loading) if ((this.#dependencies.endpointRegistry.find(name)?.findVersion(notice.model) ?? 0) < notice.version) loading.add(name)
    }
    return loading
  }

  /** Records that endpoints serve a version. */
  recordServedVersion (endpoints: EndpointName[], model: string, version: number): void {
    let hasChanged = false
    for (const name of endpoints) if (this.#dependencies.endpointRegistry.find(name)?.recordVersion(model, version)) hasChanged = true
    if (hasChanged) this.#dependencies.onServedVersion()
  }

  /** Builds the ports through which waves read the state and send commands. */
  buildWavePorts (): WavePorts {
    const { endpointRegistry, roster, managementPort, holder, tryTakePermit } = this.#dependencies
    return {
      listEndpoints: () => this.#listEndpoints(),
      listGoals: () => [...this.#targets].map(([model, version]): WaveGoal => ({ model, version })),
      readReport: async (name, timeoutMs) => {
        const record = endpointRegistry.find(name)
        if (record === undefined || !tryTakePermit(record)) return null
        const report = await managementPort.readReport(record.entry, timeoutMs)
        if (report === null) return null
        const model = record.entry.models[0]?.model
        return { version: report.models.find(served => served.model === model)?.version ?? null, isBusy: report.isBusy, ordersTaken: report.ordersTaken, running: report.running }
      },
      sendCommand: async (command, timeoutMs) => {
        const record = endpointRegistry.find(command.endpoint)
        if (record === undefined) return 'refused'
        if (!tryTakePermit(record)) return 'conflict'
        const result = await managementPort.sendLoadCommand({ ...command, address: record.entry.address, holder }, timeoutMs)
        return result.type
      },
      announce: notice => roster.announceWave({ ...notice, ...this.#buildVersionAge(notice) }),
      readNotice: pool => roster.findWaveNotice(pool),
      readRank: () => roster.computeRank(),
      record: decision => this.#dependencies.recordDecision(decision),
      handleReached: (name, model, version) => this.recordServedVersion([name], model, version)
    }
  }

  #buildVersionAge ({ model, version }: WaveNotice): Pick<WaveNotice, 'versionAgeMs'> {
    const target = this.#targetHistory.get(model)?.find(one => one.version === version)
    return target === undefined ? {} : { versionAgeMs: Math.floor(performance.now() - target.knownAtMs) }
  }

  #listEndpoints (): WaveEndpoint[] {
    return this.#dependencies.endpointRegistry.list().filter(record => !record.isDraining && record.keptUntilMs === null).flatMap(({ entry, load, inFlightCount }) => entry.models.map(({ model, version }) => ({
      endpoint: entry.endpoint,
      incarnation: entry.incarnation,
      pool: entry.pool,
      model,
      version,
      running: load?.running ?? inFlightCount
    })))
  }
}
