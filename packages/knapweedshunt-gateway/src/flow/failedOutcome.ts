import { match } from 'ts-pattern'
import type { AttemptOutcome, LossReason } from '../endpoints/attemptOutcome.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import type { AttemptReporter } from './attemptReporter.ts'
import type { AttemptRunner } from './attemptRunner.ts'
import type { FinalResponse } from './finalResponse.ts'
import type { RetryPermits } from './retryPermits.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Outcome of an attempt without a response to forward. */
export type FailedOutcome = Exclude<AttemptOutcome, { type: 'answered' }>

/** Losses that a crash of the endpoint causes. */
const CRASH_LOSSES: LossReason[] = [LOSS_REASON.reset, LOSS_REASON.cut]

/** Losses that say nothing about the endpoint. */
const CALLER_LOSSES: LossReason[] = [LOSS_REASON.withdrawn, LOSS_REASON.bodyEnded]

/** The parts of one request's task that record the end of an attempt. */
export interface AttemptEndParts {
  attemptRunner: AttemptRunner
  permits: RetryPermits
  reporter: AttemptReporter
  finalResponse: FinalResponse
}

/** Records what an attempt without a usable response shows about its endpoint, and whether an endpoint may have run the request. */
export function recordFailedOutcome ({ attemptRunner, permits, reporter, finalResponse }: AttemptEndParts, runningAttempt: RunningAttempt, outcome: FailedOutcome): void {
  match(outcome)
    .with({ type: 'unsent' }, ({ reason }) => {
      permits.recordNotRun(runningAttempt)
      reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.unreached, reason)
    })
    .with({ type: 'notRun' }, ({ head }) => {
      permits.recordRejected(runningAttempt)
      reporter.recordResponseHead(runningAttempt, head)
    })
    .with({ type: 'refused' }, ({ mayHaveRun, isLocal, reason }) => {
      if (mayHaveRun) finalResponse.recordMayHaveRun()
      else permits.recordNotRun(runningAttempt)
      if (isLocal) reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.down, reason)
    })
    .with({ type: 'lost' }, ({ loss, reason }) => {
      finalResponse.recordMayHaveRun()
      if (!CALLER_LOSSES.includes(loss)) reporter.recordObservation(runningAttempt, loss === LOSS_REASON.reset ? HEALTH_OBSERVATION.down : HEALTH_OBSERVATION.failed, reason)
      if (CRASH_LOSSES.includes(loss)) reporter.recordCrash(runningAttempt, loss)
      if (loss === LOSS_REASON.silent) reporter.recordUnanswered(runningAttempt)
    })
    .exhaustive()
  attemptRunner.finish(runningAttempt)
}

/** Describes how an attempt failed, for a log line. */
export function describeFailedOutcome (outcome: FailedOutcome): string {
  return match(outcome)
    .with({ type: 'unsent' }, ({ reason }) => `not sent: ${reason}`)
    .with({ type: 'notRun' }, ({ status }) => `not run: status ${status}`)
    .with({ type: 'refused' }, ({ reason }) => `refused: ${reason}`)
    .with({ type: 'lost' }, ({ loss, reason }) => `${loss}: ${reason}`)
    .exhaustive()
}
