import type { AttemptId, EndpointName, ExecutionState } from 'knapweedshunt-types'
import type { AttemptOptions } from './attemptOptions.ts'
import type { AttemptAction, AttemptEvent, AttemptFailureReason, FailureCode, Usage } from './attemptTypes.ts'
import { DeliveredTokens } from './deliveredTokens.ts'
import { LiveAttempts } from './liveAttempts.ts'
import { RetryDelays } from './retryDelays.ts'
import type { StreamVersions } from './streamVersions.ts'
import type { TakeRetryPermit } from './takeRetryPermit.ts'

type EventOf<T extends AttemptEvent['type']> = Extract<AttemptEvent, { type: T }>

/** HTTP statuses with which an engine reports that it did not start the request. */
const NOT_STARTED_STATUSES = [429, 503]

/**
 * State machine for the attempts of one request on successive endpoints. Performs no I/O; returns a list of actions per event.
 * Each token is delivered once and in order, whatever the attempts return. After the result every event is ignored.
 */
export class AttemptStateMachine {
  readonly #options: AttemptOptions
  readonly #takePermit: TakeRetryPermit
  readonly #retryDelays: RetryDelays
  readonly #liveAttempts = new LiveAttempts()
  readonly #deliveredTokens: DeliveredTokens
  readonly #excludedEndpoints = new Set<EndpointName>()
  #createdCount = 0
  #placedCount = 0
  #isSent = false
  #usage: Usage | null = null
  #isOver = false

  constructor (options: AttemptOptions, takePermit: TakeRetryPermit) {
    this.#options = options
    this.#takePermit = takePermit
    this.#retryDelays = new RetryDelays(options)
    this.#deliveredTokens = new DeliveredTokens(options.resumeFrom, options.origin)
  }

  /** What began the stream, as far as it is known. */
  get versions (): StreamVersions {
    return this.#deliveredTokens.versions
  }

  /** Returns the first actions: placement of an attempt, and the timer of a hedge. */
  start (): AttemptAction[] {
    const { hedgeAfterMs, repeatable } = this.#options
    const hedge: AttemptAction[] = hedgeAfterMs !== null && repeatable ? [{ type: 'hedgeAfter', ms: hedgeAfterMs }] : []
    return [...this.#placeNext(), ...hedge]
  }

  /** Applies an event and returns the resulting actions. Ignores events of attempts that have ended. */
  handleEvent (event: AttemptEvent): AttemptAction[] {
    if (this.#isOver || ('attempt' in event && !this.#liveAttempts.has(event.attempt))) return []
    return this.#handleEvent(event)
  }

  /** Uses a plain switch because it runs for each token. */
  #handleEvent (event: AttemptEvent): AttemptAction[] {
    switch (event.type) {
      case 'token': return this.#handleToken(event)
      case 'placed': return this.#handlePlaced(event)
      case 'unplaceable': return this.#handleUnplaceable(event.attempt, event.reason)
      case 'limited': return this.#handleLimited(event.attempt, event.retryAfterMs)
      case 'quarantined': return this.#fail('request_quarantined', event.retryAfterMs)
      case 'refused': return this.#moveToNextEndpoint(event.attempt, 'endpoint_failed')
      case 'head': return this.#handleHead(event)
      case 'usage': return this.#recordUsage(event.usage)
      case 'answer': return this.#endRequest([{ type: 'deliverAnswer', answer: event.answer }, { type: 'finish', usage: null }])
      case 'end': return this.#handleEnd(event.attempt)
      case 'rejected': return this.#handleRejected(event)
      case 'broken': return this.#handleBroken(event.attempt, event.reason)
      case 'stalled': return this.#handleStalled(event.attempt)
      case 'waited': return [this.#place(event.attempt)]
      case 'hedgeDue': return this.#handleHedgeDue()
      case 'callerGone': return this.#endRequest([])
      case 'deadline': return this.#fail('deadline_exceeded')
    }
  }

  #handlePlaced ({ attempt, endpoint, incarnation }: EventOf<'placed'>): AttemptAction[] {
    this.#liveAttempts.update({ attempt, endpoint, incarnation, weightsVersion: '', softwareVersion: '' })
    this.#excludedEndpoints.add(endpoint)
    this.#placedCount++
    return []
  }

  /** Moves on when the engine has other weights or another software version than those that produced the tokens before, in this response or in an earlier one, since its tokens would not continue them. */
  #handleHead ({ attempt, incarnation, weightsVersion, softwareVersion }: EventOf<'head'>): AttemptAction[] {
    this.#isSent = true
    const live = this.#liveAttempts.get(attempt)
    this.#liveAttempts.update({ ...live, incarnation: incarnation || live.incarnation, weightsVersion, softwareVersion })
    const change = this.#deliveredTokens.findChange({ weightsVersion, softwareVersion })
    return change === null ? [] : [{ type: 'cancel', attempt }, ...this.#moveToNextEndpoint(attempt, change)]
  }

  #handleToken ({ attempt, n, text }: EventOf<'token'>): AttemptAction[] {
    const { next } = this.#deliveredTokens
    if (n < next) return []
    if (n > next || !Number.isSafeInteger(n)) return this.#handleLostAttempt(attempt, [{ type: 'cancel', attempt }])
    this.#liveAttempts.setStalled(attempt, false)
    this.#deliveredTokens.record(this.#liveAttempts.get(attempt))
    return [...buildCancels(this.#liveAttempts.takeOthers(attempt)), { type: 'deliver', n, text }]
  }

  #recordUsage (usage: Usage): AttemptAction[] {
    this.#usage = usage
    return []
  }

  /** Finishes the request. A stream that ends without usage, or with fewer tokens than its usage counts, was truncated. */
  #handleEnd (attempt: AttemptId): AttemptAction[] {
    if (!this.#deliveredTokens.isComplete(this.#usage)) return this.#handleLostAttempt(attempt, [])
    return this.#endRequest([{ type: 'finish', usage: this.#usage }])
  }

  #handleRejected ({ attempt, status, retryAfterMs, message }: EventOf<'rejected'>): AttemptAction[] {
    if (NOT_STARTED_STATUSES.includes(status)) return this.#moveToNextEndpointWithinBudget(attempt, retryAfterMs)
    if (status >= 400 && status < 500) return this.#forwardRejection(attempt, message)
    return this.#handleLostAttempt(attempt, [])
  }

  /** Fails the request with the engine's error: it concerns the request itself, so another endpoint would return it too. */
  #forwardRejection (attempt: AttemptId, message: string): AttemptAction[] {
    this.#liveAttempts.remove(attempt)
    return this.#endRequest([{ type: 'fail', code: 'endpoint_rejected', ran: this.#getRan(), retryAfterMs: null, message }])
  }

  #moveToNextEndpointWithinBudget (attempt: AttemptId, retryAfterMs: number | null): AttemptAction[] {
    return this.#endAttempt(attempt, () => {
      if (!this.#takePermit()) return this.#fail('endpoint_overloaded', retryAfterMs ?? undefined)
      return this.#hasAttemptsLeft() ? this.#placeNext() : this.#fail('endpoint_overloaded')
    })
  }

  #handleBroken (attempt: AttemptId, reason: AttemptFailureReason): AttemptAction[] {
    if (reason === 'no-room') return this.#handleNoRoom(attempt)
    const { endpoint } = this.#liveAttempts.get(attempt)
    // An endpoint that was silent before it was lost need not have crashed under this request.
    const isCrash = endpoint !== null && (reason === 'reset' || reason === 'lost') && !this.#liveAttempts.isStalled(attempt)
    return this.#handleLostAttempt(attempt, isCrash ? [{ type: 'crashed', attempt, endpoint }] : [{ type: 'cancel', attempt }])
  }

  /** The response of another endpoint would need as much room. */
  #handleNoRoom (attempt: AttemptId): AttemptAction[] {
    this.#isSent = true
    return [{ type: 'cancel', attempt }, ...this.#endAttempt(attempt, () => this.#fail('router_full'))]
  }

  /** Asks another endpoint too: the stalled attempt goes on until the other one has delivered a token. Of two that stall, the newer is replaced. */
  #handleStalled (attempt: AttemptId): AttemptAction[] {
    this.#isSent = true
    this.#liveAttempts.setStalled(attempt, true)
    return this.#liveAttempts.hasOnlyStalled ? [...buildCancels(this.#liveAttempts.takeNewer()), ...this.#askAnother()] : []
  }

  /** Places an attempt beside a stalled one, if that is allowed. */
  #askAnother (): AttemptAction[] {
    return this.#options.repeatable && this.#hasAttemptsLeft() && this.#takePermit() ? this.#placeNext() : []
  }

  /** Ends an attempt that was sent but will not return its result, and retries if no other is live. */
  #handleLostAttempt (attempt: AttemptId, actionsBefore: AttemptAction[]): AttemptAction[] {
    this.#isSent = true
    return [...actionsBefore, ...this.#endAttempt(attempt, () => this.#retry())]
  }

  #retry (): AttemptAction[] {
    if (!this.#options.repeatable || !this.#hasAttemptsLeft()) return this.#fail('endpoint_failed')
    return this.#takePermit() ? this.#placeAfterBackoff('endpoint_failed') : this.#fail('retry_budget_spent')
  }

  /** Tries another endpoint without backoff. Also allowed for requests that are not repeatable, because this attempt did not run. */
  #moveToNextEndpoint (attempt: AttemptId, code: FailureCode): AttemptAction[] {
    return this.#endAttempt(attempt, () => this.#hasAttemptsLeft() ? this.#placeNext() : this.#fail(code))
  }

  #handleUnplaceable (attempt: AttemptId, reason: EventOf<'unplaceable'>['reason']): AttemptAction[] {
    return this.#endUnplaced(attempt, () => {
      if (reason === 'other-software') return this.#fail('software_changed')
      if (reason === 'no-endpoint' || this.#excludedEndpoints.size === 0 || !this.#hasAttemptsLeft()) return this.#fail('no_endpoint')
      this.#excludedEndpoints.clear()
      return this.#placeAfterBackoff('no_endpoint')
    })
  }

  /** Waits if the limits allow another request within the longest backoff. */
  #handleLimited (attempt: AttemptId, retryAfterMs: number | null): AttemptAction[] {
    return this.#endUnplaced(attempt, () => {
      const canWait = retryAfterMs !== null && retryAfterMs <= this.#options.maxBackoffMs && performance.now() + retryAfterMs < this.#options.deadlineAtMs
      return canWait ? [{ type: 'wait', attempt: this.#createAttempt(), ms: Math.max(1, Math.ceil(retryAfterMs)) }] : this.#fail('endpoint_overloaded', retryAfterMs ?? undefined)
    })
  }

  /** Ends an attempt. Calls `onNoneLeft` for the next step unless another attempt is live; if all that are live have stalled, another endpoint is asked. */
  #endAttempt (attempt: AttemptId, onNoneLeft: () => AttemptAction[]): AttemptAction[] {
    this.#liveAttempts.remove(attempt)
    if (this.#liveAttempts.size === 0) return onNoneLeft()
    return this.#liveAttempts.hasOnlyStalled ? this.#askAnother() : []
  }

  /** Ends an attempt for which no endpoint was chosen; stalled ones that are live go on by themselves. */
  #endUnplaced (attempt: AttemptId, onNoneLeft: () => AttemptAction[]): AttemptAction[] {
    this.#liveAttempts.remove(attempt)
    return this.#liveAttempts.size === 0 ? onNoneLeft() : []
  }

  #handleHedgeDue (): AttemptAction[] {
    const canHedge = this.#liveAttempts.size === 1 && this.#liveAttempts.hasPlaced && !this.#deliveredTokens.hasAny && !this.#retryDelays.hasBackedOff
    if (!this.#options.repeatable || !canHedge || !this.#hasAttemptsLeft() || !this.#takePermit()) return []
    return this.#placeNext()
  }

  #placeNext (): AttemptAction[] {
    return [this.#place(this.#createAttempt())]
  }

  /** Schedules the next attempt after a backoff; fails at once when the delay would pass the deadline. */
  #placeAfterBackoff (code: FailureCode): AttemptAction[] {
    const delayMs = this.#retryDelays.drawBackoffMs()
    if (performance.now() + delayMs >= this.#options.deadlineAtMs) return this.#fail(code)
    return [{ type: 'wait', attempt: this.#createAttempt(), ms: delayMs }]
  }

  #createAttempt (): AttemptId {
    const attempt = `${this.#options.requestId}-${++this.#createdCount}`
    this.#liveAttempts.add(attempt)
    return attempt
  }

  #place (attempt: AttemptId): AttemptAction {
    return { type: 'place', attempt, excluded: [...this.#excludedEndpoints], resumeFrom: this.#deliveredTokens.next }
  }

  #hasAttemptsLeft (): boolean {
    return this.#placedCount < this.#options.maxAttempts
  }

  /** Whether the request may have run. Bytes may have been sent as soon as an attempt is placed, unless the endpoint is known not to have started. */
  #getRan (): ExecutionState {
    return this.#isSent || this.#liveAttempts.hasPlaced ? 'may-have-run' : 'not-run'
  }

  #fail (code: FailureCode, retryAfterMs: number = this.#options.retryAfterMs): AttemptAction[] {
    return this.#endRequest([{ type: 'fail', code, ran: this.#getRan(), retryAfterMs: this.#retryDelays.drawRetryAfterMs(retryAfterMs), message: null }])
  }

  /** Ends the request; cancels the live attempts before the given actions. */
  #endRequest (actions: AttemptAction[]): AttemptAction[] {
    this.#isOver = true
    return [...buildCancels(this.#liveAttempts.takeAll()), ...actions]
  }
}

function buildCancels (attempts: AttemptId[]): AttemptAction[] {
  return attempts.map(attempt => ({ type: 'cancel', attempt }))
}
