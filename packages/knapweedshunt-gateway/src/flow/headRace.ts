import type { AttemptOutcome } from '../endpoints/attemptOutcome.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import type { SuccessionResult, TakenSuccession } from './succession.ts'
import type { Successor } from './successor.ts'

/** How the wait for the head of a response ended. */
export interface HeadRaceResult {
  /** Outcome of the current attempt; null if it is still without a response. */
  outcome: AttemptOutcome | null
  /** Successor whose response has begun; null without one. */
  taken: TakenSuccession | null
}

/** Options of the wait for the head of a response. */
export interface HeadRaceOptions {
  /** Time without a response after which another endpoint is asked too, and again after each such time, in milliseconds; null for never. */
  silenceTimeoutMs: number | null
  /** Whether the endpoint is known to be at work, so that no other is asked. */
  isBusy (): boolean
  /** Whether a silent successor may be replaced by another one. */
  canReplace (): boolean
  startSuccessor (): Successor
  /** Called when a successor has ended or another one replaces it. */
  onSuccessorEnded (successor: Successor, result: SuccessionResult | null): void
}

/** Waits for the head of the response to an attempt, or to a successor that is started while the attempt is silent, whichever comes first. An attempt that fails while its successor is under way leaves the request to the successor. Rejects on an internal error. */
export function raceForHead ({ attempt }: RunningAttempt, { silenceTimeoutMs, isBusy, canReplace, startSuccessor, onSuccessorEnded }: HeadRaceOptions): Promise<HeadRaceResult> {
  return new Promise((resolve, reject) => {
    let successor: Successor | null = null
    let outcome: AttemptOutcome | null = null
    let timer: NodeJS.Timeout | undefined
    const settle = (taken: HeadRaceResult['taken']) => {
      clearInterval(timer)
      resolve({ outcome, taken })
    }
    const runGuarded = (handle: () => void) => {
      try {
        handle()
      } catch (error) {
        clearInterval(timer)
        reject(error)
      }
    }
    const replaceSuccessor = () => {
      if (successor === null ? outcome !== null || isBusy() : !canReplace()) return
      endSuccessor(true)
      const started = startSuccessor()
      successor = started
      started.result.then(result => runGuarded(() => {
        if (successor !== started) return
        successor = null
        onSuccessorEnded(started, result)
        if (result.type === 'taken') settle(result)
        else if (outcome !== null) settle(null)
      }))
    }
    const endSuccessor = (isSilent: boolean) => {
      if (successor === null) return
      const ended = successor
      successor = null
      ended.cancel(isSilent)
      onSuccessorEnded(ended, null)
    }
    if (silenceTimeoutMs !== null) timer = setInterval(() => runGuarded(replaceSuccessor), silenceTimeoutMs)
    attempt.outcome.then(ended => runGuarded(() => {
      outcome = ended
      if (ended.type === 'answered') endSuccessor(false)
      if (successor === null) settle(null)
    }))
  })
}
