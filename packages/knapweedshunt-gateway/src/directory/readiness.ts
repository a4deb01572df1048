import type { TableFollower } from 'knapweedshunt-platform'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { ConfigState } from './configState.ts'
import type { DirectoryUpdater } from './directoryUpdater.ts'
import type { KeyFreshness } from './keyFreshness.ts'

/** Dependencies of {@link Readiness}. */
export interface ReadinessDependencies {
  configState: ConfigState
  directoryUpdater: DirectoryUpdater
  /** Follower of the roster table, which VMs share. */
  rosterFollower: TableFollower
  keyFreshness: KeyFreshness
  decisionLog: DecisionLog
  isStopping (): boolean
}

/** Determines whether this VM is ready for callers and logs each change. */
export class Readiness {
  readonly #dependencies: ReadinessDependencies
  #wasReady: boolean | null = null
  #wasFresh = false

  constructor (dependencies: ReadinessDependencies) {
    this.#dependencies = dependencies
  }

  /** Whether this VM is ready for callers. */
  get isReady (): boolean {
    return this.#findUnreadyReason() === ''
  }

  /** Logs a change of readiness or key freshness since the last call. */
  update (): void {
    this.#recordKeyFreshness()
    const reason = this.#findUnreadyReason()
    const isReady = reason === ''
    if (isReady === this.#wasReady) return
    this.#wasReady = isReady
    this.#dependencies.decisionLog.record({ type: 'readiness', isReady, reason })
  }

  #recordKeyFreshness (): void {
    const { isFresh, ageMs } = this.#dependencies.keyFreshness
    if (isFresh === this.#wasFresh) return
    this.#wasFresh = isFresh
    this.#dependencies.decisionLog.record({ type: 'keysFresh', isFresh, ageMs: Math.round(Math.min(ageMs, Number.MAX_SAFE_INTEGER)) })
  }

  /** Returns why this VM is not ready; empty when it is. */
  #findUnreadyReason (): string {
    const { configState, directoryUpdater, rosterFollower, keyFreshness, isStopping } = this.#dependencies
    if (isStopping()) return 'stopping'
    if (configState.config === null) return 'no configuration'
    if (!directoryUpdater.hasEndpoints) return 'no endpoints read'
    if (rosterFollower.ageMs === null) return 'no VMs read'
    if (!keyFreshness.isFresh) return 'keys unconfirmed'
    return ''
  }
}
