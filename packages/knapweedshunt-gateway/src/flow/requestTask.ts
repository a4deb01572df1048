import type http from 'node:http'
import type { PrefixLevel } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { AnswerHead } from '../ports/endpointPort.ts'
import type { AttemptOutcome } from '../endpoints/attemptOutcome.ts'
import { LOSS } from '../endpoints/attemptOutcome.ts'
import { EVIDENCE } from '../endpoints/endpointHealth.ts'
import type { Choice } from '../endpoints/endpointChooser.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { RefusalReason } from '../records/decision.ts'
import type { OwnAnswer } from '../shared/callerError.ts'
import type { FlowParts } from './flowParts.ts'
import { AnswerWriter } from './answerWriter.ts'
import type { AttemptRun } from './attemptRun.ts'
import { launchAttempt } from './launchAttempt.ts'
import { readAnswerBody } from './readAnswerBody.ts'
import { RepeatPermits } from './repeatPermits.ts'
import type { RequestPlan } from './requestPlan.ts'
import { RequestRecord } from './requestRecord.ts'
import { StreamRelay } from './streamRelay.ts'

/** Statuses that promise that a request did not run and will not. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

/** Connections that fail before a byte was sent, after which no further endpoint is tried. */
const MAX_UNSENT = 3

/** Endpoints that may say of one request that they did not run it before it is refused. */
const MAX_NOT_RUN = 3

/** Share of the objective after which another endpoint is tried for a request that may be repeated. */
const STALL_SHARE = 0.6

/** Pauses that long, as a multiple of the wished longest one, end an endpoint's stream when it can go on elsewhere. */
const PAUSE_FACTOR = 2

/** Wished longest pause of a stream whose route names none, in milliseconds. */
const DEFAULT_PAUSE_MS = 500

/** Longest wait for an endpoint that is full or loads weights, as a share of the objective. */
const FREE_WAIT_SHARE = 0.5

/** Time between two looks for a free endpoint, in milliseconds. */
const FREE_LOOK_MS = 15

/** Mean time after which a refused caller may come again, in milliseconds. */
const RETRY_AFTER_MS = 200

const FIRST_SERVER_ERROR = 500

type Chosen = Extract<Choice, { type: 'chosen' }>

type Step = { type: 'done' } | { type: 'again' }
const DONE: Step = { type: 'done' }
const AGAIN: Step = { type: 'again' }

/** Carries one checked request to its final answer. */
export class RequestTask {
  readonly #parts: FlowParts
  readonly #plan: RequestPlan
  readonly #answer: http.ServerResponse
  readonly #relay: StreamRelay
  readonly #writer: AnswerWriter
  readonly #permits: RepeatPermits
  readonly #record: RequestRecord
  readonly #tried: string[] = []
  #running: AttemptRun | null = null
  #homeLevels: PrefixLevel[] = []
  #attempts = 0
  #unsent = 0
  #notRun = 0
  #mayHaveRun = false
  #isOver = false
  /** The endpoint asked last answers with a stream. */
  #isStreaming = false
  #isMoved = false
  #deadline: NodeJS.Timeout | undefined

  constructor (parts: FlowParts, plan: RequestPlan, answer: http.ServerResponse) {
    this.#parts = parts
    this.#plan = plan
    this.#answer = answer
    this.#record = new RequestRecord(parts, plan)
    this.#writer = new AnswerWriter(answer, plan.call.method)
    this.#permits = new RepeatPermits(parts, plan)
    this.#relay = new StreamRelay(answer, plan.route.repeatability === REPEATABILITY.resumed, plan.call.lastEventId)
  }

  /** Runs until the request has its final answer or its caller left. */
  async run (): Promise<void> {
    const { deadlineAtMs, route } = this.#plan
    this.#deadline = setTimeout(() => this.#expire(), Math.max(0, deadlineAtMs - performance.now()))
    this.#answer.once('close', () => this.#noteClosed())
    try {
      let step: Step = AGAIN
      while (step.type === 'again' && !this.#isOver) step = await this.#tryNext()
    } catch (error) {
      this.#parts.log.warn('Request failed inside.', { requestId: this.#plan.call.requestId, route: route.name, reason: (error as Error).message })
      this.#running?.attempt.cancel(LOSS.cancelled)
      this.#refuse('internal', this.#mayHaveRun ? 502 : 503, (error as Error).message)
    } finally {
      clearTimeout(this.#deadline)
      this.#isOver = true
    }
  }

  /** Lets a stream that can go on elsewhere leave one of these endpoints, so that nothing waits for its end. */
  leave (endpoints: ReadonlySet<string>): void {
    const running = this.#running
    if (running === null || !this.#isStreaming || this.#plan.route.repeatability !== REPEATABILITY.resumed || !endpoints.has(running.record.entry.endpoint)) return
    if (!this.#parts.chooser.hasOther(this.#plan.pool, this.#tried) || !this.#permits.take(true)) return
    this.#isMoved = true
    running.attempt.cancel(LOSS.moved)
  }

  get #canRepeat (): boolean {
    return this.#plan.route.repeatability !== REPEATABILITY.never
  }

  async #tryNext (): Promise<Step> {
    const chosen = await this.#waitEndpoint()
    if (chosen === null || this.#isOver) return DONE
    const running = this.#start(chosen)
    const outcome = await this.#waitOutcome(running)
    if (this.#isOver) return DONE
    const step = await this.#takeOutcome(running, outcome)
    return step
  }

  async #waitEndpoint (): Promise<Chosen | null> {
    const { pool, levels, call, route } = this.#plan
    const prompt = route.usesPrefixes ? call.prompt : null
    this.#homeLevels = this.#parts.chooser.findHomeLevels(levels)
    const untilMs = Math.min(this.#plan.deadlineAtMs, performance.now() + route.objectiveMs * FREE_WAIT_SHARE)
    for (;;) {
      const choice = this.#parts.chooser.choose(pool, this.#homeLevels, this.#tried, prompt)
      if (choice.type === 'chosen') {
        this.#record.noteChoice(this.#attempts + 1, choice.record, choice.decision)
        return choice
      }
      if (choice.type === 'none' || performance.now() >= untilMs) {
        this.#fail(choice.type === 'none' ? 'no_endpoint' : 'no_free_endpoint', 'no endpoint may take the request now')
        return null
      }
      await this.#parts.sleep(FREE_LOOK_MS)
      if (this.#isOver) return null
    }
  }

  #start (chosen: Chosen): AttemptRun {
    const running = launchAttempt(this.#parts, this.#plan, { chosen, homeLevels: this.#homeLevels, number: ++this.#attempts, lastEventId: this.#relay.lastEventId })
    this.#permits.noteSent()
    this.#tried.push(running.record.entry.endpoint)
    this.#running = running
    return running
  }

  /** Ends an attempt; `hasRead` when the endpoint read the whole prompt, and so holds it. */
  #end (running: AttemptRun, hasRead = false): void {
    if (this.#running !== running) return
    const { record, id, startedAtMs, expectedCachedTokens } = running
    record.open--
    this.#running = null
    this.#parts.watch.noteEnd(record, startedAtMs)
    this.#parts.chooser.placement.take({ type: 'finished', attempt: id, cachedTokens: hasRead ? expectedCachedTokens : null })
  }

  /** Waits for the answer's head; a request that may go elsewhere does not wait for it longer than a share of its objective. */
  async #waitOutcome ({ attempt, record, startedAtMs }: AttemptRun): Promise<AttemptOutcome> {
    const { route } = this.#plan
    if (!this.#canRepeat) return await attempt.outcome
    const timer = setTimeout(() => {
      // An engine that gives tokens to others is busy, not lost: it has read part of the prompt already.
      if (route.usesPrefixes && record.heardAtMs > startedAtMs) return
      if (this.#reserveMove()) attempt.cancel(LOSS.silent)
    }, route.objectiveMs * STALL_SHARE)
    try {
      return await attempt.outcome
    } finally {
      clearTimeout(timer)
    }
  }

  async #takeOutcome (running: AttemptRun, outcome: AttemptOutcome): Promise<Step> {
    if (outcome.type === 'unsent' || outcome.type === 'notRun') this.#permits.noteNotRun()
    return await match(outcome)
      .with({ type: 'unsent' }, ({ reason }) => this.#takeUnsent(running, reason))
      .with({ type: 'notRun' }, ({ head, status }) => this.#takeNotRun(running, head, status))
      .with({ type: 'lost' }, ({ loss, reason }) => this.#takeLost(running, loss, reason))
      .with({ type: 'answered' }, ({ head, message }) => this.#takeAnswer(running, head, message))
      .exhaustive()
  }

  #takeUnsent (running: AttemptRun, reason: string): Step {
    this.#parts.watch.note(running.record, EVIDENCE.down, reason)
    this.#end(running)
    this.#unsent++
    const isRetried = this.#unsent < MAX_UNSENT && performance.now() < this.#plan.deadlineAtMs
    this.#record.noteEnded(running, 'unsent', reason, isRetried)
    if (isRetried) return AGAIN
    this.#fail('no_free_endpoint', reason)
    return DONE
  }

  #takeNotRun (running: AttemptRun, head: AnswerHead, status: number): Step {
    this.#noteHead(running.record, head)
    this.#end(running)
    this.#notRun++
    const isRetried = this.#notRun <= MAX_NOT_RUN && this.#permits.take(false)
    this.#record.noteEnded(running, 'notRun', `status ${status}`, isRetried)
    if (isRetried) return this.#retry()
    this.#fail('endpoint_refused', `status ${status}`)
    return DONE
  }

  #takeLost (running: AttemptRun, loss: typeof LOSS[keyof typeof LOSS], reason: string): Step {
    this.#mayHaveRun = true
    const evidence = loss === LOSS.reset ? EVIDENCE.down : EVIDENCE.failed
    this.#parts.watch.note(running.record, evidence, reason)
    if (loss === LOSS.reset) this.#parts.noteCrash(this.#plan.fingerprint, running.record, running.startedAtMs)
    this.#end(running)
    const isRetried = this.#canRepeat && this.#permits.take(false)
    this.#record.noteEnded(running, loss, reason, isRetried)
    if (isRetried) return this.#retry()
    this.#fail('endpoint_lost', `${loss}: ${reason}`)
    return DONE
  }

  #retry (): Step {
    this.#parts.figures.recordRetry(this.#plan.pool)
    return AGAIN
  }

  async #takeAnswer (running: AttemptRun, head: AnswerHead, message: http.IncomingMessage): Promise<Step> {
    this.#noteHead(running.record, head)
    this.#parts.watch.noteHeard(running.record)
    const status = message.statusCode ?? 0
    this.#mayHaveRun = true
    const isStream = this.#plan.route.isStream && status < 300
    return isStream ? await this.#passStream(running, message) : await this.#passWhole(running, message, status)
  }

  async #passWhole (running: AttemptRun, message: http.IncomingMessage, status: number): Promise<Step> {
    const body = await readAnswerBody(message)
    if (this.#isOver) {
      this.#end(running)
      return DONE
    }
    if (body.type === 'cut') return this.#takeLost(running, LOSS.garbled, body.reason)
    const isFailure = status >= FIRST_SERVER_ERROR
    this.#parts.watch.note(running.record, isFailure ? EVIDENCE.failed : EVIDENCE.served, `status ${status}`)
    if (isFailure && this.#canRepeat && this.#permits.take(false)) {
      message.destroy()
      this.#end(running)
      this.#record.noteEnded(running, 'failed', `status ${status}`, true)
      return this.#retry()
    }
    if (NOT_RUN_STATUSES.includes(status) && !this.#canRepeat) {
      // The endpoint did not say that the request did not run, so its status must not say so either.
      message.destroy()
      this.#end(running)
      this.#refuse('endpoint_refused', 502, `status ${status} without a word that the request did not run`)
      return DONE
    }
    const firstByteMs = performance.now() - this.#plan.arrivedAtMs
    this.#writer.writeHead(message, status, body.type === 'whole' ? body.bytes.length : null)
    if (body.type === 'whole') this.#answer.end(body.bytes)
    else await this.#passRest(message, body.first)
    this.#end(running)
    this.#record.noteAnswered(running, status, firstByteMs, 0, body.type === 'whole' ? body.bytes.length : this.#relay.bytes)
    return DONE
  }

  /** A long answer flows through; one that breaks off ends the caller's connection, so that it does not look whole. */
  async #passRest (message: http.IncomingMessage, first: Buffer[]): Promise<void> {
    for (const chunk of first) this.#answer.write(chunk)
    const end = await this.#relay.pass(message, { stallMs: null, mayCut: () => false, onChunk: () => {} })
    if (end.type === 'complete') this.#answer.end()
    else this.#answer.destroy()
  }

  async #passStream (running: AttemptRun, message: http.IncomingMessage): Promise<Step> {
    const { route, levels } = this.#plan
    if (running.salt !== null) this.#parts.chooser.holders.note(levels, running.salt, running.record)
    if (!this.#answer.headersSent) this.#writer.writeHead(message, message.statusCode ?? 0, null)
    const isResumable = route.repeatability === REPEATABILITY.resumed
    const stallMs = isResumable ? (route.pauseObjectiveMs ?? DEFAULT_PAUSE_MS) * PAUSE_FACTOR : null
    this.#isStreaming = true
    const end = await this.#relay.pass(message, { stallMs, mayCut: () => this.#reserveMove(), onChunk: () => this.#parts.watch.noteHeard(running.record) })
    this.#isStreaming = false
    if (this.#isOver || end.type === 'callerLeft') {
      running.attempt.cancel(LOSS.cancelled)
      this.#end(running)
      return DONE
    }
    if (end.type === 'complete') {
      this.#parts.watch.note(running.record, EVIDENCE.served, 'stream')
      this.#answer.end()
      this.#end(running, true)
      const firstAtMs = this.#relay.firstAtMs ?? performance.now()
      this.#record.noteAnswered(running, message.statusCode ?? 0, firstAtMs - this.#plan.arrivedAtMs, this.#relay.longestPauseMs, this.#relay.bytes)
      return DONE
    }
    return this.#takeCut(running, end.reason)
  }

  /** Whether a request that hears nothing may go on elsewhere; silence alone is no reason to end it. */
  #reserveMove (): boolean {
    return this.#parts.chooser.hasOther(this.#plan.pool, this.#tried) && this.#permits.reserve()
  }

  #takeCut (running: AttemptRun, reason: string): Step {
    const isMoved = this.#isMoved
    this.#isMoved = false
    running.attempt.cancel(LOSS.cancelled)
    if (!isMoved) this.#parts.watch.note(running.record, EVIDENCE.failed, reason)
    this.#end(running, isMoved)
    const isRetried = isMoved || (this.#plan.route.repeatability === REPEATABILITY.resumed && this.#permits.take(false))
    this.#record.noteEnded(running, isMoved ? LOSS.moved : 'cut', reason, isRetried)
    if (!isRetried) {
      this.#refuse('stream_cut', 0, reason)
      return DONE
    }
    this.#parts.decisions.record({ type: 'resumed', requestId: this.#plan.call.requestId, endpoint: running.record.entry.endpoint, lastEventId: this.#relay.lastEventId ?? '', afterMs: this.#record.readAgeMs() })
    return this.#retry()
  }

  #noteHead (record: EndpointRecord, head: AnswerHead): void {
    const model = this.#plan.call.prompt?.model
    if (head.weightsVersion !== null && model !== undefined && record.noteVersion(model, head.weightsVersion)) this.#parts.chooser.rebuild()
    if (head.load === null) return
    record.load = head.load
    record.loadAtMs = performance.now()
    this.#parts.chooser.noteLoad(record)
  }

  /** The caller's patience or the route's time is over. */
  #expire (): void {
    if (this.#isOver) return
    const running = this.#running
    running?.attempt.cancel(LOSS.silent)
    if (running !== null) {
      this.#parts.watch.note(running.record, EVIDENCE.failed, 'no answer in time')
      this.#end(running)
    }
    const isSent = running?.attempt.isSent ?? false
    this.#mayHaveRun ||= isSent
    this.#refuse('timeout', this.#mayHaveRun ? 504 : 503, 'the time was over')
  }

  /** An order goes on without its caller; what may be repeated, and streams, end at the endpoint too. */
  #noteClosed (): void {
    if (this.#isOver || this.#answer.writableFinished) return
    const running = this.#running
    if (!this.#canRepeat && !this.#plan.route.isStream && running !== null) return
    this.#isOver = true
    clearTimeout(this.#deadline)
    running?.attempt.cancel(LOSS.cancelled)
    if (running !== null) this.#end(running)
    this.#record.noteRefused({ reason: 'caller_left', status: 0, mayHaveRun: this.#mayHaveRun || running !== null, attempts: this.#attempts, retryAfterMs: 0, detail: '' })
  }

  #fail (reason: RefusalReason, detail: string): void {
    this.#refuse(reason, this.#mayHaveRun ? 502 : 503, detail)
  }

  #refuse (reason: RefusalReason, status: number, detail: string): void {
    if (this.#isOver) return
    this.#isOver = true
    clearTimeout(this.#deadline)
    const retryAfterMs = status === 503 ? this.#parts.drawRetryMs(RETRY_AFTER_MS) : null
    this.#record.noteRefused({ reason, status, mayHaveRun: this.#mayHaveRun, attempts: this.#attempts, retryAfterMs: retryAfterMs ?? 0, detail })
    if (this.#answer.headersSent) {
      this.#answer.destroy()
      return
    }
    const answer: OwnAnswer = { status: status || 502, code: reason, retryAfterMs, closes: false }
    this.#parts.sendOwnAnswer(this.#answer, this.#plan.call.requestId, answer)
  }
}
