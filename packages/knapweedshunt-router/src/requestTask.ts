import { AttemptStateMachine, DEFAULT_ATTEMPT_OPTIONS } from 'knapweedshunt-attempts'
import type { AttemptAction, AttemptEvent, Usage } from 'knapweedshunt-attempts'
import type { EndpointName } from 'knapweedshunt-types'
import { AttemptLauncher } from './attemptLauncher.ts'
import { buildFailure } from './buildFailure.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { CallerSink } from './callerSink.ts'
import type { DataPath } from './dataPath.ts'

/** Drives one admitted request to its end: turns actions into calls and calls' events into actions. */
export class RequestTask {
  readonly #path: DataPath
  readonly #request: CallerRequest
  readonly #sink: CallerSink
  readonly #machine: AttemptStateMachine
  readonly #launcher: AttemptLauncher
  readonly #timers = new Set<NodeJS.Timeout>()
  readonly #done: Promise<void>
  #resolveDone = () => {}

  constructor (path: DataPath, request: CallerRequest, sink: CallerSink) {
    const { requestId, organisation, pool, repeatable, resumeFrom, deadlineAtMs } = request
    this.#path = path
    this.#request = request
    this.#sink = sink
    const isSuspect = path.suspects.check(request).type !== 'clear'
    const hedgeAfterMs = isSuspect ? null : path.hedges.read(request)
    const options = { ...DEFAULT_ATTEMPT_OPTIONS, requestId, repeatable, resumeFrom, deadlineAtMs, hedgeAfterMs, seed: path.drawSeed() }
    this.#machine = new AttemptStateMachine(options, () => path.budget.tryTake(organisation, pool))
    this.#launcher = new AttemptLauncher(path, request, sink, event => this.#take(event))
    this.#done = new Promise(resolve => { this.#resolveDone = resolve })
  }

  /** Runs until the request has its result, was given up, or `signal` (the caller is gone) aborted. */
  async run (signal: AbortSignal): Promise<void> {
    const onGone = () => {
      this.#take({ type: 'callerGone' })
      this.#resolveDone()
    }
    this.#takeAfter(Math.max(0, this.#request.deadlineAtMs - performance.now()), { type: 'deadline' })
    signal.addEventListener('abort', onGone, { once: true })
    this.#perform(this.#machine.start())
    if (signal.aborted) onGone()
    await this.#done
    signal.removeEventListener('abort', onGone)
    for (const timer of this.#timers) clearTimeout(timer)
  }

  #take (event: AttemptEvent): void {
    this.#perform(this.#machine.handleEvent(event))
  }

  #takeAfter (ms: number, event: AttemptEvent): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      this.#take(event)
    }, ms)
    this.#timers.add(timer)
  }

  #perform (actions: AttemptAction[]): void {
    for (const action of actions) this.#performOne(action)
  }

  /** A plain switch, since this runs for each token. */
  #performOne (action: AttemptAction): void {
    switch (action.type) {
      case 'deliver': return this.#deliver(action.n, action.text)
      case 'place': return this.#launcher.place(action)
      case 'wait': return this.#takeAfter(action.ms, { type: 'waited', attempt: action.attempt })
      case 'hedgeAfter': return this.#takeAfter(action.ms, { type: 'hedgeDue' })
      case 'cancel': return this.#launcher.cancel(action.attempt)
      case 'crashed': return this.#noteCrash(action.attempt, action.endpoint)
      case 'deliverAnswer': return this.#sink.deliverAnswer(action.answer)
      case 'finish': return this.#finish(action.usage)
      case 'fail': return this.#fail(action)
    }
  }

  #deliver (n: number, text: string): void {
    if (n === this.#request.resumeFrom) this.#path.figures.recordFirstToken(this.#request, performance.now() - this.#request.receivedAtMs)
    this.#sink.deliver(n, text)
  }

  #noteCrash (attempt: string, endpoint: EndpointName): void {
    const startedAtMs = this.#path.running.find(attempt)?.startedAtMs ?? performance.now()
    this.#path.log.warn('Endpoint failed under a request.', { requestId: this.#request.requestId, attempt, endpoint })
    this.#path.suspects.noteCrash(this.#request, endpoint, startedAtMs)
  }

  #finish (usage: Usage | null): void {
    const { organisation, pool } = this.#request
    this.#path.budget.recordSuccess(organisation, pool)
    this.#path.suspects.noteSuccess(this.#request)
    this.#path.figures.recordUsage(this.#request, usage)
    this.#sink.finish(usage)
    this.#resolveDone()
  }

  #fail (fail: Extract<AttemptAction, { type: 'fail' }>): void {
    this.#path.figures.recordRefusal(this.#request, fail.code)
    this.#path.log.info('Request failed.', { requestId: this.#request.requestId, code: fail.code, ran: fail.ran })
    this.#sink.fail(buildFailure(fail))
    this.#resolveDone()
  }
}
