import type { TableFollower } from 'knapweedshunt-platform'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { ConfigState } from './configState.ts'
import type { DirectoryUpdater } from './directoryUpdater.ts'
import type { KeyFreshness } from './keyFreshness.ts'

/** Dependencies of {@link Readiness}. */
export interface ReadinessParts {
  config: ConfigState
  directoryUpdater: DirectoryUpdater
  /** Follower of the roster table, which VMs share. */
  roster: TableFollower
  keys: KeyFreshness
  decisions: DecisionLog
  isStopping (): boolean
}

/** Determines whether this VM is ready for callers and logs each change. */
export class Readiness {
  readonly #parts: ReadinessParts
  #wasReady: boolean | null = null
  #wasFresh = false

  constructor (parts: ReadinessParts) {
    this.#parts = parts
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
    this.#parts.decisions.record({ type: 'readiness', isReady, reason })
  }

  #recordKeyFreshness (): void {
    const { isFresh, ageMs } = this.#parts.keys
    if (isFresh === this.#wasFresh) return
    this.#wasFresh = isFresh
    this.#parts.decisions.record({ type: 'keysFresh', isFresh, ageMs: Math.round(Math.min(ageMs, Number.MAX_SAFE_INTEGER)) })
  }

  /** Returns why this VM is not ready; empty when it is. */
  #findUnreadyReason (): string {
    const { config, directoryUpdater: intake, roster, keys, isStopping } = this.#parts
    if (isStopping()) return 'stopping'
    if (config.config === null) return 'no configuration'
    if (!intake.hasEndpoints) return 'no endpoints read'
    if (roster.ageMs === null) return 'no VMs read'
    if (!keys.isFresh) return 'keys unconfirmed'
    return ''
  }
}
