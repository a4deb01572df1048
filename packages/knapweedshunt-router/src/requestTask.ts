import { AttemptMachine, DEFAULT_ATTEMPT_OPTIONS } from 'knapweedshunt-attempts'
import type { AttemptAction, AttemptEvent, Usage } from 'knapweedshunt-attempts'
import type { EndpointName } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
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
  readonly #machine: AttemptMachine
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
    this.#machine = new AttemptMachine(options, () => path.budget.take(organisation, pool))
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
    this.#perform(this.#machine.take(event))
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

  #performOne (action: AttemptAction): void {
    match(action)
      .with({ type: 'place' }, place => this.#launcher.place(place))
      .with({ type: 'wait' }, ({ attempt, ms }) => this.#takeAfter(ms, { type: 'waited', attempt }))
      .with({ type: 'hedgeAfter' }, ({ ms }) => this.#takeAfter(ms, { type: 'hedgeDue' }))
      .with({ type: 'cancel' }, ({ attempt }) => this.#launcher.cancel(attempt))
      .with({ type: 'crashed' }, ({ attempt, endpoint }) => this.#noteCrash(attempt, endpoint))
      .with({ type: 'deliver' }, ({ n, text }) => this.#deliver(n, text))
      .with({ type: 'deliverAnswer' }, ({ answer }) => this.#sink.deliverAnswer(answer))
      .with({ type: 'finish' }, ({ usage }) => this.#finish(usage))
      .with({ type: 'fail' }, fail => this.#fail(fail))
      .exhaustive()
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
    this.#path.budget.noteSuccess(organisation, pool)
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
