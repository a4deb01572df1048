import type { TableFollower } from 'knapweedshunt-platform'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { ConfigState } from './configState.ts'
import type { DirectoryIntake } from './directoryIntake.ts'
import type { KeyFreshness } from './keyFreshness.ts'

/** What readiness depends on. */
export interface ReadinessParts {
  config: ConfigState
  intake: DirectoryIntake
  /** Follower of what VMs tell each other. */
  roster: TableFollower
  keys: KeyFreshness
  decisions: DecisionLog
  isStopping (): boolean
}

/** Says whether this VM wants callers, and tells when that changes. */
export class Readiness {
  readonly #parts: ReadinessParts
  #wasReady: boolean | null = null
  #wasFresh = false

  constructor (parts: ReadinessParts) {
    this.#parts = parts
  }

  /** Whether this VM wants callers. */
  get isReady (): boolean {
    return this.#explainUnready() === ''
  }

  /** Looks for a change and tells it. */
  look (): void {
    this.#noteFreshness()
    const reason = this.#explainUnready()
    const isReady = reason === ''
    if (isReady === this.#wasReady) return
    this.#wasReady = isReady
    this.#parts.decisions.record({ type: 'readiness', isReady, reason })
  }

  #noteFreshness (): void {
    const { isFresh, ageMs } = this.#parts.keys
    if (isFresh === this.#wasFresh) return
    this.#wasFresh = isFresh
    this.#parts.decisions.record({ type: 'keysFresh', isFresh, ageMs: Math.round(Math.min(ageMs, Number.MAX_SAFE_INTEGER)) })
  }

  /** Why this VM wants no callers; empty when it does. */
  #explainUnready (): string {
    const { config, intake, roster, keys, isStopping } = this.#parts
    if (isStopping()) return 'stopping'
    if (config.config === null) return 'no configuration'
    if (!intake.hasEndpoints) return 'no endpoints read'
    if (roster.ageMs === null) return 'no VMs read'
    if (!keys.isFresh) return 'keys unconfirmed'
    return ''
  }
}
