import { createLogger } from 'knapweedshunt-logger'
import type { Logger } from 'knapweedshunt-logger'
import type { Decision } from './decision.ts'

/** Maximum number of log lines per second and kind about successful requests; enough for a busy VM while it limits the CPU time of logging. */
const MAX_ROUTINE_LINES_PER_S = 60

/** Maximum number of log lines per second and kind about failed or slow requests and about changes of the process state. */
const MAX_NOTABLE_LINES_PER_S = 200

/** Time to the first byte from which on a request counts as slow, in milliseconds. */
const SLOW_RESPONSE_MS = 1_000

const WINDOW_MS = 1_000

const MESSAGES: Record<Decision['type'], string> = {
  sent: 'Request sent.',
  relayed: 'Request sent to another VM.',
  relayReceived: 'Request of another VM received.',
  relayFailed: 'Other VM failed.',
  usageRefused: 'Request beyond the limit of its organisation.',
  accountantFailed: 'Accountant of limits failed.',
  tableReaderLeft: 'Tables not handed on by another VM.',
  begunOnReplaced: 'Response begun on replaced weights.',
  attemptEnded: 'Attempt ended.',
  callerLeft: 'Caller left.',
  handover: 'Other endpoint asked to take over.',
  resumed: 'Stream resumed.',
  unfinished: 'Response not finished.',
  answered: 'Request answered.',
  refused: 'Request refused.',
  unanswered: 'Connection closed without an answer.',
  started: 'Started.',
  stopping: 'Stopping.',
  stopped: 'Stopped.',
  reloaded: 'Settings reloaded.',
  streamsUntold: 'Streams not told to another VM.',
  versionsUntold: 'Software versions not told to another VM.',
  streamUnasked: 'Other VM not asked about a stream.',
  streamUnstored: 'Stream begins before its software version is stored.',
  streamUnknown: 'Software version of a stream not found.',
  takenUp: 'Stream taken up again.',
  streamsRestored: 'Stored streams read.',
  streamRowsUnread: 'Stored streams not read.',
  streamsEvicted: 'Streams evicted from rows.',
  configTaken: 'Configuration applied.',
  readiness: 'Readiness changed.',
  keysFresh: 'Key freshness changed.',
  endpointPresent: 'Endpoint present.',
  endpointLeaving: 'Endpoint leaves.',
  endpointGone: 'Endpoint gone.',
  endpointKept: 'Endpoint kept without a readable row.',
  endpointOut: 'Endpoint left out.',
  endpointBack: 'Endpoint used again.',
  incarnationUnconfirmed: 'Endpoint not used for a stream.',
  poolReach: 'Reached endpoints of pool changed.',
  poolDivided: 'Pool divided between short and long prompts.',
  poolOverload: 'Overload of pool changed.',
  limitStated: 'Rate limit of endpoint changed.',
  limitUnreadable: 'Rate limit of endpoint unreadable.',
  backpressureStated: 'Backpressure of endpoint.',
  rowUnreadable: 'Row unreadable.',
  weightsWished: 'Weights wished.',
  leaseTaken: 'Lease taken.',
  leaseLost: 'Lease no longer held.',
  orderSent: 'Order sent.',
  orderAnswered: 'Order answered.',
  weightsReached: 'Weights reached.',
  loadGivenUp: 'Load given up for now.',
  crashMarked: 'Crash marked.',
  crashReviewed: 'Crash reviewed.',
  crashesSurvived: 'Crashes no longer counted.',
  crashDoubted: 'Crash not marked.',
  suspectCleared: 'Suspect request cleared.',
  markApplied: 'Mark of another VM applied.',
  partsQuarantined: 'Prompt parts quarantined.',
  partsCleared: 'Suspect prompt parts cleared.',
  quarantineLifted: 'Quarantine lifted.',
  liftLost: 'Lift of a quarantine lost by the store.',
  markEvicted: 'Mark evicted.',
  rowUnwritten: 'Row of this VM not written.',
  heldUp: 'Process held up.',
  callersEvicted: 'Callers gave way.',
  stopPhase: 'Step of the stop done.',
  requestsUnaccepted: 'Requests read and not answered.',
  linesLeftOut: 'Log lines suppressed by the rate limit.'
}

/** Writes decisions to the log with a rate limit per kind. Suppressed lines are counted, and the counts are logged. */
export class DecisionLog {
  readonly #log: Logger
  readonly #writtenCounts = new Map<string, number>()
  readonly #suppressedCounts = new Map<string, number>()
  #windowStartedAtMs = performance.now()

  constructor (log: Logger = createLogger('gateway')) {
    this.#log = log
  }

  /** Writes one decision, or counts it as suppressed if its kind exceeds the rate limit. */
  record (decision: Decision): void {
    const isNotable = isNotableDecision(decision)
    const kind = isNotable ? `${decision.type}!` : decision.type
    this.#advanceWindow()
    const written = this.#writtenCounts.get(kind) ?? 0
    if (written >= (isNotable ? MAX_NOTABLE_LINES_PER_S : MAX_ROUTINE_LINES_PER_S)) {
      this.#suppressedCounts.set(decision.type, (this.#suppressedCounts.get(decision.type) ?? 0) + 1)
      return
    }
    this.#writtenCounts.set(kind, written + 1)
    const { type, ...fields } = decision
    this.#log[isNotable ? 'warn' : 'info'](MESSAGES[type], { decision: type, ...fields })
  }

  #advanceWindow (): void {
    const nowMs = performance.now()
    if (nowMs - this.#windowStartedAtMs < WINDOW_MS) return
    this.#windowStartedAtMs = nowMs
    this.#writtenCounts.clear()
    for (const [kind, count] of this.#suppressedCounts) this.#log.warn(MESSAGES.linesLeftOut, { decision: 'linesLeftOut', kind, count })
    this.#suppressedCounts.clear()
  }
}

/** Whether the decision is about a failed or slow request or a change of the process state; such lines have a separate, higher rate limit. */
function isNotableDecision (decision: Decision): boolean {
  if (decision.type === 'sent') return decision.attempt > 1 || decision.callerLeftMs !== null
  if (decision.type === 'answered') return decision.status >= 500 || decision.attempts > 1 || decision.firstByteMs >= SLOW_RESPONSE_MS
  return true
}
