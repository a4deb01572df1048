import { createLogger } from 'knapweedshunt-logger'
import type { Logger } from 'knapweedshunt-logger'
import type { Decision } from './decision.ts'

/** Lines a second of decisions about requests that went well; enough for a busy VM, a bound on the processor time of logging. */
const ROUTINE_LINES_PER_S = 60

/** Lines a second of decisions about requests that failed or were slow, and of each kind that changes the process. */
const NOTABLE_LINES_PER_S = 200

/** Time to an answer from which on a request counts as slow, in milliseconds. */
const SLOW_MS = 1_000

const WINDOW_MS = 1_000

const MESSAGES: Record<Decision['type'], string> = {
  sent: 'Request sent.',
  attemptEnded: 'Attempt ended.',
  resumed: 'Stream resumed.',
  answered: 'Request answered.',
  refused: 'Request refused.',
  started: 'Started.',
  stopping: 'Stopping.',
  stopped: 'Stopped.',
  reloaded: 'Settings read again.',
  configTaken: 'Configuration taken.',
  readiness: 'Readiness changed.',
  keysFresh: 'Freshness of keys changed.',
  endpointPresent: 'Endpoint present.',
  endpointLeaving: 'Endpoint leaves.',
  endpointGone: 'Endpoint gone.',
  endpointOut: 'Endpoint left out.',
  endpointBack: 'Endpoint used again.',
  rowUnreadable: 'Row not readable.',
  weightsWished: 'Weights wished.',
  leaseTaken: 'Lease taken.',
  leaseLost: 'Lease no longer used.',
  orderSent: 'Order sent.',
  orderAnswered: 'Order answered.',
  weightsReached: 'Weights reached.',
  loadGivenUp: 'Load given up for now.',
  crashMarked: 'Crash marked.',
  linesLeftOut: 'Lines left out.'
}

/** Writes decisions to the log, at most so many of a kind in a second; what was left out is counted and told. */
export class DecisionLog {
  readonly #log: Logger
  readonly #written = new Map<string, number>()
  readonly #leftOut = new Map<string, number>()
  #windowAtMs = performance.now()

  constructor (log: Logger = createLogger('gateway')) {
    this.#log = log
  }

  /** Writes one decision, or counts it as left out. */
  record (decision: Decision): void {
    const isNotable = isNotableDecision(decision)
    const kind = isNotable ? `${decision.type}!` : decision.type
    this.#turnWindow()
    const written = this.#written.get(kind) ?? 0
    if (written >= (isNotable ? NOTABLE_LINES_PER_S : ROUTINE_LINES_PER_S)) {
      this.#leftOut.set(decision.type, (this.#leftOut.get(decision.type) ?? 0) + 1)
      return
    }
    this.#written.set(kind, written + 1)
    const { type, ...fields } = decision
    this.#log[isNotable ? 'warn' : 'info'](MESSAGES[type], { decision: type, ...fields })
  }

  #turnWindow (): void {
    const nowMs = performance.now()
    if (nowMs - this.#windowAtMs < WINDOW_MS) return
    this.#windowAtMs = nowMs
    this.#written.clear()
    for (const [kind, count] of this.#leftOut) this.#log.warn(MESSAGES.linesLeftOut, { decision: 'linesLeftOut', kind, count })
    this.#leftOut.clear()
  }
}

/** Lines of requests that failed or were slow, and of changes of the process, are kept before routine ones. */
function isNotableDecision (decision: Decision): boolean {
  if (decision.type === 'sent') return decision.attempt > 1
  if (decision.type === 'answered') return decision.status >= 500 || decision.attempts > 1 || decision.firstByteMs >= SLOW_MS
  return true
}
