import { AttemptMachine } from 'knapweedshunt-attempts'
import type { AttemptAction, AttemptEvent, FailureCode, Usage } from 'knapweedshunt-attempts'
import type { AttemptId, Ran } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { runAttempt } from './attemptCall.ts'
import { createCallerError } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { CallerSink } from './callerSink.ts'
import type { DataPath } from './dataPath.ts'

const MAX_ATTEMPTS = 4
const RETRY_AFTER_MS = 1_000
const MESSAGES: Record<FailureCode, string> = {
  no_endpoint: 'No endpoint can take the request now: try again later.',
  endpoint_failed: 'The endpoint failed while it had the request.',
  deadline_exceeded: 'The deadline passed.'
}

/** Drives one admitted request to its end: turns actions into calls and calls' events into actions. */
export class RequestTask {
  readonly #path: DataPath
  readonly #request: CallerRequest
  readonly #sink: CallerSink
  readonly #machine: AttemptMachine
  readonly #aborts = new Map<AttemptId, AbortController>()
  readonly #startedAtMs = performance.now()
  readonly #done: Promise<void>
  #resolveDone = () => {}
  #usage: Usage | null = null

  constructor (path: DataPath, request: CallerRequest, sink: CallerSink) {
    this.#path = path
    this.#request = request
    this.#sink = sink
    this.#machine = new AttemptMachine({ requestId: request.requestId, repeatable: request.repeatable, resumeFrom: request.resumeFrom, maxAttempts: MAX_ATTEMPTS })
    this.#done = new Promise(resolve => { this.#resolveDone = resolve })
  }

  /** Runs until the request has its result, was given up, or `signal` (the caller is gone) aborted. */
  async run (signal: AbortSignal): Promise<void> {
    const onGone = () => {
      this.#take({ type: 'callerGone' })
      this.#resolveDone()
    }
    const timer = setTimeout(() => this.#take({ type: 'deadline' }), Math.max(0, this.#request.deadlineAtMs - performance.now()))
    signal.addEventListener('abort', onGone, { once: true })
    this.#perform(this.#machine.start())
    if (signal.aborted) onGone()
    await this.#done
    clearTimeout(timer)
    signal.removeEventListener('abort', onGone)
    for (const abort of this.#aborts.values()) abort.abort()
  }

  #take (event: AttemptEvent): void {
    if (event.type === 'usage') this.#usage = event.usage
    this.#perform(this.#machine.take(event))
  }

  #perform (actions: AttemptAction[]): void {
    for (const action of actions) this.#performOne(action)
  }

  #performOne (action: AttemptAction): void {
    match(action)
      .with({ type: 'place' }, place => this.#place(place))
      .with({ type: 'cancel' }, ({ attempt }) => this.#aborts.get(attempt)?.abort())
      .with({ type: 'deliver' }, ({ n, text }) => {
        if (n === this.#request.resumeFrom) this.#path.figures.recordFirstToken(this.#request, performance.now() - this.#startedAtMs)
        this.#sink.deliver(n, text)
      })
      .with({ type: 'deliverAnswer' }, ({ answer }) => this.#sink.deliverAnswer(answer))
      .with({ type: 'finish' }, ({ usage }) => {
        this.#path.figures.recordUsage(this.#request, usage)
        this.#sink.finish(usage)
        this.#resolveDone()
      })
      .with({ type: 'fail' }, ({ code, ran }) => this.#fail(code, ran))
      .exhaustive()
  }

  #place ({ attempt, excluded, resumeFrom }: Extract<AttemptAction, { type: 'place' }>): void {
    const { levels, pool } = this.#request
    const decision = this.#path.placement.place({ pool, levels, excluded })
    if (decision.type === 'unplaceable') return this.#take({ type: 'unplaceable', attempt })
    this.#take({ type: 'placed', attempt, endpoint: decision.endpoint })
    const abort = new AbortController()
    this.#aborts.set(attempt, abort)
    this.#path.placement.take({ type: 'started', attempt, endpoint: decision.endpoint, tokens: levels.at(-1)?.tokens ?? 0 })
    const emit = (event: AttemptEvent) => this.#take(event)
    runAttempt({ attempt, url: decision.url, request: this.#request, resumeFrom, agent: this.#path.agent, signal: abort.signal, emit })
      .finally(() => {
        this.#aborts.delete(attempt)
        this.#path.placement.take({ type: 'finished', attempt, cachedTokens: this.#usage?.cachedTokens ?? null })
      })
      .catch(error => this.#path.log.error('Attempt task failed.', { requestId: this.#request.requestId, reason: String(error) }))
  }

  #fail (code: FailureCode, ran: Ran): void {
    this.#sink.fail(createCallerError(code, MESSAGES[code], ran, RETRY_AFTER_MS))
    this.#resolveDone()
  }
}
