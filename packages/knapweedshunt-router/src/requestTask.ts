import { AttemptStateMachine, DEFAULT_ATTEMPT_OPTIONS } from 'knapweedshunt-attempts'
import type { AttemptAction, AttemptEvent, StreamVersions, Usage } from 'knapweedshunt-attempts'
import type { EndpointName } from 'knapweedshunt-types'
import { AttemptLauncher } from './attemptLauncher.ts'
import { buildFailureError } from './buildFailureError.ts'
import { createCallerError } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { CallerSink } from './callerSink.ts'
import type { DataPath } from './dataPath.ts'

/** Runs one admitted request to completion: performs the actions of the attempt state machine and feeds the resulting events back to it. */
export class RequestTask {
  readonly #dataPath: DataPath
  readonly #request: CallerRequest
  readonly #sink: CallerSink
  readonly #stateMachine: AttemptStateMachine
  readonly #launcher: AttemptLauncher
  readonly #timers = new Set<NodeJS.Timeout>()
  readonly #done: Promise<void>
  #resolveDone = () => {}
  #hasFailed = false

  /** `origin`: what began the stream that the request resumes; null if it resumes none. */
  constructor (dataPath: DataPath, request: CallerRequest, sink: CallerSink, origin: StreamVersions | null = null) {
    const { requestId, organisation, pool, repeatable, resumeFrom, deadlineAtMs } = request
    this.#dataPath = dataPath
    this.#request = request
    this.#sink = sink
    const isSuspect = dataPath.suspectGuard.check(request).type !== 'clear'
    const hedgeAfterMs = isSuspect ? null : dataPath.hedgeDelays.getDelayMs(request)
    const options = { ...DEFAULT_ATTEMPT_OPTIONS, requestId, repeatable, resumeFrom, origin, deadlineAtMs, hedgeAfterMs, seed: dataPath.drawSeed() }
    this.#stateMachine = new AttemptStateMachine(options, () => dataPath.retryBudget.tryTake(organisation, pool))
    this.#launcher = new AttemptLauncher(dataPath, request, sink, event => this.#handleEvent(event))
    this.#done = new Promise(resolve => { this.#resolveDone = resolve })
  }

  /** Resolves when the request has finished or failed, or when `signal` aborts because the caller disconnected. */
  async run (signal: AbortSignal): Promise<void> {
    const handleCallerGone = () => {
      this.#handleEvent({ type: 'callerGone' })
      this.#resolveDone()
    }
    this.#scheduleEvent(Math.max(0, this.#request.deadlineAtMs - performance.now()), { type: 'deadline' })
    signal.addEventListener('abort', handleCallerGone, { once: true })
    this.#performActions(this.#stateMachine.start())
    if (signal.aborted) handleCallerGone()
    await this.#done
    signal.removeEventListener('abort', handleCallerGone)
    for (const timer of this.#timers) clearTimeout(timer)
  }

  /** Handles an event of an attempt or a timer; an error ends this request only. */
  #handleEvent (event: AttemptEvent): void {
    if (this.#hasFailed) return
    try {
      this.#performActions(this.#stateMachine.handleEvent(event))
    } catch (error) {
      this.#handleInternalError(error)
    }
  }

  #handleInternalError (error: unknown): void {
    this.#hasFailed = true
    this.#dataPath.log.error('Request failed with an internal error.', { requestId: this.#request.requestId, reason: String(error) })
    for (const action of this.#stateMachine.handleEvent({ type: 'callerGone' })) if (action.type === 'cancel') this.#launcher.cancel(action.attempt)
    try {
      this.#sink.fail(createCallerError('internal', 'The router failed inside.', 'may-have-run'))
    } catch (failure) {
      this.#dataPath.log.error('Sending an error to the caller failed.', { requestId: this.#request.requestId, reason: String(failure) })
    }
    this.#resolveDone()
  }

  #scheduleEvent (delayMs: number, event: AttemptEvent): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      this.#handleEvent(event)
    }, delayMs)
    this.#timers.add(timer)
  }

  #performActions (actions: AttemptAction[]): void {
    for (const action of actions) this.#performAction(action)
  }

  /** Uses a switch rather than ts-pattern for speed, since it runs for each token. */
  #performAction (action: AttemptAction): void {
    switch (action.type) {
      case 'deliver': return this.#deliver(action.n, action.text)
      case 'place': return this.#launcher.place(action, this.#stateMachine.versions)
      case 'wait': return this.#scheduleEvent(action.ms, { type: 'waited', attempt: action.attempt })
      case 'hedgeAfter': return this.#scheduleEvent(action.ms, { type: 'hedgeDue' })
      case 'cancel': return this.#launcher.cancel(action.attempt)
      case 'crashed': return this.#handleCrash(action.attempt, action.endpoint)
      case 'deliverAnswer': return this.#sink.deliverAnswer(action.answer)
      case 'finish': return this.#finish(action.usage)
      case 'fail': return this.#fail(action)
    }
  }

  #deliver (n: number, text: string): void {
    if (n === this.#request.resumeFrom) {
      this.#dataPath.metrics.recordFirstToken(this.#request, performance.now() - this.#request.receivedAtMs)
      this.#sink.startStream?.(this.#stateMachine.versions)
    }
    this.#sink.deliver(n, text)
  }

  #handleCrash (attempt: string, endpoint: EndpointName): void {
    const startedAtMs = this.#dataPath.runningAttempts.find(attempt)?.startedAtMs ?? performance.now()
    this.#dataPath.log.warn('Endpoint failed while it ran a request.', { requestId: this.#request.requestId, attempt, endpoint })
    // A brittle endpoint that had to reject requests has ended under these, not under the ones that it ran.
    if (!this.#dataPath.endpointLimiter.isEndDoubtful(this.#request.pool)) this.#dataPath.suspectGuard.recordCrash(this.#request, endpoint, startedAtMs)
  }

  #finish (usage: Usage | null): void {
    const { organisation, pool } = this.#request
    this.#dataPath.retryBudget.recordSuccess(organisation, pool)
    this.#dataPath.suspectGuard.recordSuccess(this.#request)
    this.#dataPath.metrics.recordUsage(this.#request, usage)
    this.#sink.finish(usage)
    this.#resolveDone()
  }

  #fail (failure: Extract<AttemptAction, { type: 'fail' }>): void {
    this.#dataPath.metrics.recordRefusal(this.#request, failure.code)
    this.#dataPath.log.info('Request failed.', { requestId: this.#request.requestId, code: failure.code, ran: failure.ran })
    this.#sink.fail(buildFailureError(failure))
    this.#resolveDone()
  }
}
