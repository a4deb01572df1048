import type { StallKind } from 'knapweedshunt-attempts'
import type { StallLimits } from './attemptCall.ts'

/** Detects an endpoint that stops sending tokens, and reports it again after each further timeout. It is stopped while the caller applies backpressure, so that a slow caller does not count as a stall. */
export class StallTimer {
  readonly #limits: StallLimits | null
  readonly #onStall: (kind: StallKind) => void
  #timer: NodeJS.Timeout | undefined

  constructor (limits: StallLimits | null, onStall: (kind: StallKind) => void) {
    this.#limits = limits
    this.#onStall = onStall
  }

  /** Starts the timeout for the next token, in place of a running one. */
  start (kind: StallKind): void {
    this.stop()
    if (this.#limits === null) return
    const limitMs = kind === 'first-token' ? this.#limits.firstTokenMs : this.#limits.betweenTokensMs
    this.#timer = setInterval(() => this.#onStall(kind), limitMs)
  }

  /** Cancels the timeout. */
  stop (): void {
    clearInterval(this.#timer)
  }
}
