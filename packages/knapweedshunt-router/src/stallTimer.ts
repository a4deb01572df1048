import type { StallKind } from 'knapweedshunt-attempts'
import type { StallLimits } from './attemptCall.ts'

/** Watches for silence of an endpoint; time in which the caller is slow does not count. */
export class StallTimer {
  readonly #limits: StallLimits | null
  readonly #onStall: (kind: StallKind) => void
  #timer: NodeJS.Timeout | undefined

  constructor (limits: StallLimits | null, onStall: (kind: StallKind) => void) {
    this.#limits = limits
    this.#onStall = onStall
  }

  /** Waits for the next sign of life. */
  start (kind: StallKind): void {
    this.stop()
    if (this.#limits === null) return
    const limitMs = kind === 'first-token' ? this.#limits.firstTokenMs : this.#limits.betweenTokensMs
    this.#timer = setTimeout(() => this.#onStall(kind), limitMs)
  }

  /** Waits for nothing. */
  stop (): void {
    clearTimeout(this.#timer)
  }
}
