import { match } from 'ts-pattern'
import type { BodyShare } from 'knapweedshunt-utils'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import { computeMaxWaitMs } from './computeMaxWaitMs.ts'
import { EVENT_TOO_LONG } from './eventSplitter.ts'
import { describeFailedOutcome, recordFailedOutcome } from './failedOutcome.ts'
import type { AttemptEndParts, FailedOutcome } from './failedOutcome.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { NextTarget } from './nextTarget.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RequestRecorder } from './requestRecorder.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { isEventStream } from './isEventStream.ts'
import { readResponseBody } from './readResponseBody.ts'
import { describeSelection, selectTarget } from './selectTarget.ts'
import type { AnsweredOutcome, AskedSuccession, SuccessionCause, SuccessionResult } from './succession.ts'
import { waitForFirstEvent } from './waitForFirstEvent.ts'

const MIN_SERVER_ERROR_STATUS = 500

/** The parts of one request's task that a successor uses. */
export interface SuccessorParts extends AttemptEndParts {
  recorder: RequestRecorder
  /** What the request has taken of the memory for bodies of responses. */
  responseMemory: BodyShare
  /** Runs what a timer or a listener calls, so that an error there ends this request only. */
  runGuarded (handle: () => void): void
}

/** What is asked of a successor. */
export interface SuccessorOptions {
  cause: SuccessionCause
  /** Id of the last event that the caller has received; null for a stream from its start. */
  getLastEventId (): string | null
  /** Called right before the request is sent. */
  onSend (): void
}

/**
 * One further attempt of a request, made while its current attempt goes on. The current attempt is given up only when
 * the response of the further one has begun; if that is rejected or lost, nothing has happened to the request.
 */
export class Successor implements AskedSuccession {
  readonly cause: SuccessionCause
  readonly result: Promise<SuccessionResult>
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #parts: SuccessorParts
  #runningAttempt: RunningAttempt | null = null
  #isCancelled = false

  constructor (dependencies: FlowDependencies, plan: RequestPlan, parts: SuccessorParts, options: SuccessorOptions) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#parts = parts
    this.cause = options.cause
    this.result = this.#run(options).catch((error: Error): SuccessionResult => {
      dependencies.log.warn('Asking another endpoint failed with an internal error.', { requestId: plan.call.requestId, reason: error.message })
      this.cancel()
      return { type: 'failed', reason: 'internal error' }
    })
  }

  /** Endpoint that is asked; empty if none was chosen, or until another VM has said which one that is. */
  get endpoint (): string {
    return this.#runningAttempt?.endpoint ?? ''
  }

  /** Ends the further attempt; its result is then that it failed. `isSilent` if it was given up because nothing came. */
  cancel (isSilent = false): void {
    this.#isCancelled = true
    const { attemptRunner } = this.#parts
    if (this.#runningAttempt === null) return
    if (isSilent) attemptRunner.abandonAttempt(this.#runningAttempt, LOSS_REASON.silent)
    else attemptRunner.cancelUnneeded(this.#runningAttempt)
  }

  async #run ({ cause, getLastEventId, onSend }: SuccessorOptions): Promise<SuccessionResult> {
    const { attemptRunner, permits, finalResponse } = this.#parts
    const isOptional = cause === LOSS_REASON.moved
    if (!attemptRunner.canAskSuccessor) return { type: 'failed', reason: 'no other endpoint, or the access key is not usable' }
    if (permits.endpointsLeft === 0) return { type: 'failed', reason: 'limit of endpoints reached' }
    if (!permits.tryReserve(isOptional)) return { type: 'failed', reason: 'no retry permit' }
    const selection = await selectTarget(this.#dependencies, this.#plan, { triedEndpoints: [...attemptRunner.triedEndpoints], scope: { type: 'untried' }, triedPeers: [...attemptRunner.triedPeers], softwareVersion: attemptRunner.softwareVersion, maxWaitMs: computeMaxWaitMs(this.#plan.route, false), isCancelled: () => this.#hasEnded })
    if (selection.type !== 'target') return { type: 'failed', reason: describeSelection(selection) }
    if (!this.#canGoOnAt(selection.target)) return { type: 'failed', reason: 'the stream has begun at another software version' }
    if (this.#hasEnded || !permits.tryTake(isOptional)) return { type: 'failed', reason: 'not needed any more' }
    onSend()
    this.#dependencies.metrics.recordRetry(this.#plan.pool)
    finalResponse.attemptCount++
    const runningAttempt = attemptRunner.startSuccessor({ target: selection.target, lastEventId: getLastEventId() })
    this.#runningAttempt = runningAttempt
    const outcome = await runningAttempt.attempt.outcome
    if (this.#hasEnded) return { type: 'failed', reason: 'not needed any more' }
    return await match(outcome)
      .with({ type: 'answered' }, answered => this.#handleAnswered(runningAttempt, answered))
      .otherwise(failed => this.#recordFailed(runningAttempt, failed))
  }

  /** The first event may have come while the endpoint was chosen; another VM is told the version when it is asked. */
  #canGoOnAt (target: NextTarget): boolean {
    const { softwareVersion } = this.#parts.attemptRunner
    return softwareVersion === null || target.type === 'peer' || target.chosen.record.entry.softwareVersion === softwareVersion
  }

  get #hasEnded (): boolean {
    return this.#isCancelled || this.#parts.finalResponse.isSettled
  }

  async #handleAnswered (runningAttempt: RunningAttempt, outcome: AnsweredOutcome): Promise<SuccessionResult> {
    const { attemptRunner, reporter, finalResponse } = this.#parts
    const status = outcome.response.statusCode ?? 0
    finalResponse.recordMayHaveRun()
    if (this.#plan.route.isStream ? !isEventStream(outcome.response) : status >= MIN_SERVER_ERROR_STATUS) {
      reporter.recordResponseHead(runningAttempt, outcome.head)
      reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, `status ${status}`)
      runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
      attemptRunner.finish(runningAttempt)
      return { type: 'failed', reason: `status ${status}` }
    }
    const { isStream } = this.#plan.route
    const body = isStream ? null : await readResponseBody(outcome.response, this.#parts.responseMemory)
    const firstEvent = isStream ? await waitForFirstEvent(outcome.response, this.#dependencies.eventMemory) : null
    if (this.#hasEnded) return { type: 'failed', reason: 'not needed any more' }
    if (firstEvent === 'tooLong') {
      runningAttempt.attempt.cancel(LOSS_REASON.garbled)
      return this.#recordFailed(runningAttempt, { type: 'lost', loss: LOSS_REASON.garbled, reason: EVENT_TOO_LONG })
    }
    if (firstEvent !== 'lost' && body?.type !== 'cut') return { type: 'taken', runningAttempt, outcome, body }
    return this.#recordFailed(runningAttempt, { type: 'lost', loss: runningAttempt.attempt.bodyLoss, reason: isStream ? 'ended before its first event' : 'cut before its body was complete' })
  }

  #recordFailed (runningAttempt: RunningAttempt, outcome: FailedOutcome): SuccessionResult {
    recordFailedOutcome(this.#parts, runningAttempt, outcome)
    return { type: 'failed', reason: describeFailedOutcome(outcome) }
  }
}

/** Whether a silent successor may be given up, as another endpoint may be asked in its place. */
export function canReplaceSuccessor ({ attemptRunner, permits }: SuccessorParts): boolean {
  return permits.endpointsLeft > 0 && attemptRunner.canAskSuccessor && permits.tryReserve(false)
}
