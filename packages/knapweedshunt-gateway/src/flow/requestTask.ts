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
import type { FlowParts } from './flowParts.ts'
import { AnswerWriter } from './answerWriter.ts'
import type { AttemptRun } from './attemptRun.ts'
import { FinalAnswer } from './finalAnswer.ts'
import { launchAttempt } from './launchAttempt.ts'
import { readAnswerBody } from './readAnswerBody.ts'
import { RepeatPermits } from './repeatPermits.ts'
import type { RequestPlan } from './requestPlan.ts'
import { RequestRecord } from './requestRecord.ts'
import { StreamRelay } from './streamRelay.ts'
import { waitEndpoint } from './waitEndpoint.ts'

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
  readonly #final: FinalAnswer
  readonly #tried: string[] = []
  #running: AttemptRun | null = null
  #homeLevels: PrefixLevel[] = []
  #unsent = 0
  #notRun = 0
  /** The endpoint asked last answers with a stream. */
  #isStreaming = false
  #isMoved = false

  constructor (parts: FlowParts, plan: RequestPlan, answer: http.ServerResponse) {
    this.#parts = parts
    this.#plan = plan
    this.#answer = answer
    this.#record = new RequestRecord(parts, plan)
    this.#final = new FinalAnswer(parts, plan, this.#record, answer)
    this.#writer = new AnswerWriter(answer, plan.call.method)
    this.#permits = new RepeatPermits(parts, plan)
    this.#relay = new StreamRelay(answer, plan.route.repeatability === REPEATABILITY.resumed, plan.call.lastEventId)
  }

  /** Runs until the request has its final answer or its caller left. */
  async run (): Promise<void> {
    const { deadlineAtMs, route } = this.#plan
    const deadline = setTimeout(() => this.#expire(), Math.max(0, deadlineAtMs - performance.now()))
    this.#answer.once('close', () => this.#noteClosed())
    try {
      let step: Step = AGAIN
      while (step.type === 'again' && !this.#final.isOver) step = await this.#tryNext()
    } catch (error) {
      this.#parts.log.warn('Request failed inside.', { requestId: this.#plan.call.requestId, route: route.name, reason: (error as Error).message })
      this.#running?.attempt.cancel(LOSS.cancelled)
      this.#final.fail('internal', (error as Error).message)
    } finally {
      clearTimeout(deadline)
      this.#final.end()
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
    const chosen = await this.#findEndpoint()
    if (chosen === null) return DONE
    const running = this.#start(chosen)
    const outcome = await this.#waitOutcome(running)
    if (this.#final.isOver) return DONE
    return await this.#takeOutcome(running, outcome)
  }

  async #findEndpoint (): Promise<Chosen | null> {
    this.#homeLevels = this.#parts.chooser.findHomeLevels(this.#plan.levels)
    const choice = await waitEndpoint(this.#parts, this.#plan, { homeLevels: this.#homeLevels, tried: this.#tried, isOver: () => this.#final.isOver })
    if (this.#final.isOver) return null
    if (choice.type !== 'chosen') {
      this.#final.fail(choice.type === 'none' ? 'no_endpoint' : 'no_free_endpoint', 'no endpoint may take the request now')
      return null
    }
    this.#record.noteChoice(this.#final.attempts + 1, choice.record, choice.decision)
    return choice
  }

  #start (chosen: Chosen): AttemptRun {
    const running = launchAttempt(this.#parts, this.#plan, { chosen, homeLevels: this.#homeLevels, number: ++this.#final.attempts, lastEventId: this.#relay.lastEventId })
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
    this.#parts.chooser.placement.handleEvent({ type: 'finished', attempt: id, cachedTokens: hasRead ? expectedCachedTokens : null })
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
    this.#final.fail('no_free_endpoint', reason)
    return DONE
  }

  #takeNotRun (running: AttemptRun, head: AnswerHead, status: number): Step {
    this.#noteHead(running.record, head)
    this.#end(running)
    this.#notRun++
    const isRetried = this.#notRun <= MAX_NOT_RUN && this.#permits.take(false)
    this.#record.noteEnded(running, 'notRun', `status ${status}`, isRetried)
    if (isRetried) return this.#retry()
    this.#final.fail('endpoint_refused', `status ${status}`)
    return DONE
  }

  #takeLost (running: AttemptRun, loss: typeof LOSS[keyof typeof LOSS], reason: string): Step {
    this.#final.noteMayHaveRun()
    const evidence = loss === LOSS.reset ? EVIDENCE.down : EVIDENCE.failed
    this.#parts.watch.note(running.record, evidence, reason)
    if (loss === LOSS.reset) this.#parts.noteCrash(this.#plan.fingerprint, running.record, running.startedAtMs)
    this.#end(running)
    const isRetried = this.#canRepeat && this.#permits.take(false)
    this.#record.noteEnded(running, loss, reason, isRetried)
    if (isRetried) return this.#retry()
    this.#final.fail('endpoint_lost', `${loss}: ${reason}`)
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
    this.#final.noteMayHaveRun()
    const isStream = this.#plan.route.isStream && status < 300
    return isStream ? await this.#passStream(running, message) : await this.#passWhole(running, message, status)
  }

  async #passWhole (running: AttemptRun, message: http.IncomingMessage, status: number): Promise<Step> {
    const body = await readAnswerBody(message)
    if (this.#final.isOver) {
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
      this.#final.refuse('endpoint_refused', 502, `status ${status} without a word that the request did not run`)
      return DONE
    }
    const firstByteMs = performance.now() - this.#plan.arrivedAtMs
    this.#writer.writeHead(message, status, body.type === 'whole' ? body.bytes.length : null)
    if (body.type === 'long') return await this.#passLong(running, message, body.first, firstByteMs)
    this.#answer.end(body.bytes)
    this.#end(running)
    this.#record.noteAnswered(running, status, firstByteMs, 0, body.bytes.length)
    return DONE
  }

  /** A long answer flows through, and cannot be tried again. */
  async #passLong (running: AttemptRun, message: http.IncomingMessage, first: Buffer[], firstByteMs: number): Promise<Step> {
    for (const chunk of first) this.#answer.write(chunk)
    const end = await this.#relay.pass(message, { stallMs: null, mayCut: () => false, onChunk: () => {} })
    this.#end(running)
    if (end.type === 'callerLeft') {
      if (!this.#final.isOver) this.#final.noteCallerLeft(true)
      return DONE
    }
    if (end.type === 'cut') {
      this.#parts.watch.note(running.record, EVIDENCE.failed, end.reason)
      this.#record.noteEnded(running, 'cut', end.reason, false)
      this.#final.cut(end.reason)
      return DONE
    }
    this.#answer.end()
    this.#record.noteAnswered(running, message.statusCode ?? 0, firstByteMs, this.#relay.longestPauseMs, first.reduce((sum, chunk) => sum + chunk.length, this.#relay.bytes))
    return DONE
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
    if (this.#final.isOver || end.type === 'callerLeft') {
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
      this.#final.cut(reason)
      return DONE
    }
    this.#parts.decisions.record({ type: 'resumed', requestId: this.#plan.call.requestId, endpoint: running.record.entry.endpoint, lastEventId: this.#relay.lastEventId ?? '', afterMs: this.#record.readAgeMs() })
    return this.#retry()
  }

  #noteHead (record: EndpointRecord, head: AnswerHead): void {
    const model = this.#plan.call.prompt?.model
    if (head.weightsVersion !== null && model !== undefined && record.noteVersion(model, head.weightsVersion)) this.#parts.chooser.rebuild()
    if (head.load !== null) this.#parts.chooser.noteLoad(record, head.load)
  }

  /** The caller's patience or the route's time is over. */
  #expire (): void {
    if (this.#final.isOver) return
    const running = this.#running
    running?.attempt.cancel(LOSS.silent)
    if (running !== null) {
      this.#parts.watch.note(running.record, EVIDENCE.failed, 'no answer in time')
      this.#end(running)
    }
    if (running?.attempt.isSent) this.#final.noteMayHaveRun()
    this.#final.expire()
  }

  /** An order goes on without its caller; what may be repeated, and streams, end at the endpoint too. */
  #noteClosed (): void {
    if (this.#final.isOver || this.#answer.writableFinished) return
    const running = this.#running
    if (!this.#canRepeat && !this.#plan.route.isStream && running !== null) return
    this.#final.noteCallerLeft(running !== null)
    running?.attempt.cancel(LOSS.cancelled)
    if (running !== null) this.#end(running)
  }
}
