import type { AttemptId, EndpointName, Ran, WeightsVersion } from 'knapweedshunt-types'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { AttemptOptions } from './attemptOptions.ts'
import type { AttemptAction, AttemptEvent, BreakReason, FailureCode, Usage } from './attemptTypes.ts'
import type { LiveAttempt } from './liveAttempt.ts'
import type { RetryPermit } from './retryPermit.ts'

type EventOf<T extends AttemptEvent['type']> = Extract<AttemptEvent, { type: T }>

/** Statuses by which an engine says that it did not start. */
const NOT_STARTED_STATUSES = [429, 503]

/**
 * Attempts of one request on successive endpoints. Opens nothing; one action list per event.
 * Each token is delivered once and in order, whatever attempts bring; after the result every event is dropped.
 */
export class AttemptMachine {
  readonly #options: AttemptOptions
  readonly #takePermit: RetryPermit
  readonly #rng: Rng
  readonly #live = new Map<AttemptId, LiveAttempt>()
  readonly #excluded = new Set<EndpointName>()
  #opened = 0
  #placed = 0
  #retries = 0
  #sent = false
  #next: number
  #weightsVersion: WeightsVersion = ''
  #usage: Usage | null = null
  #over = false

  constructor (options: AttemptOptions, takePermit: RetryPermit) {
    this.#options = options
    this.#takePermit = takePermit
    this.#rng = createRng(options.seed)
    this.#next = options.resumeFrom
  }

  /** First actions. */
  start (): AttemptAction[] {
    const { hedgeAfterMs, repeatable } = this.#options
    const hedge: AttemptAction[] = hedgeAfterMs !== null && repeatable ? [{ type: 'hedgeAfter', ms: hedgeAfterMs }] : []
    return [...this.#placeNext(), ...hedge]
  }

  /** Takes an event; those of attempts that are over are dropped. */
  take (event: AttemptEvent): AttemptAction[] {
    if (this.#over) return []
    if ('attempt' in event && !this.#live.has(event.attempt)) return []
    return this.#step(event)
  }

  /** A plain switch, since this runs for each token. */
  #step (event: AttemptEvent): AttemptAction[] {
    switch (event.type) {
      case 'token': return this.#deliver(event)
      case 'placed': return this.#notePlaced(event)
      case 'unplaceable': return this.#skip(event.attempt, event.reason)
      case 'quarantined': return this.#fail('request_quarantined', event.retryAfterMs)
      case 'refused': return this.#moveOn(event.attempt, 'endpoint_failed')
      case 'head': return this.#noteHead(event)
      case 'usage': return this.#noteUsage(event.usage)
      case 'answer': return this.#close([{ type: 'deliverAnswer', answer: event.answer }, { type: 'finish', usage: null }])
      case 'end': return this.#finish(event.attempt)
      case 'rejected': return this.#noteRejected(event)
      case 'broken': return this.#noteBroken(event.attempt, event.reason)
      case 'stalled': return this.#noteLost(event.attempt, [{ type: 'cancel', attempt: event.attempt }])
      case 'waited': return [this.#place(event.attempt)]
      case 'hedgeDue': return this.#hedge()
      case 'callerGone': return this.#close([])
      case 'deadline': return this.#fail('deadline_exceeded')
    }
  }

  #notePlaced ({ attempt, endpoint, incarnation }: EventOf<'placed'>): AttemptAction[] {
    this.#live.set(attempt, { attempt, endpoint, incarnation, weightsVersion: '' })
    this.#excluded.add(endpoint)
    this.#placed++
    return []
  }

  /** Tokens of other weights do not continue those already delivered. */
  #noteHead ({ attempt, incarnation, weightsVersion }: EventOf<'head'>): AttemptAction[] {
    this.#sent = true
    const live = this.#live.get(attempt)!
    this.#live.set(attempt, { ...live, incarnation: incarnation || live.incarnation, weightsVersion })
    const isOther = this.#weightsVersion !== '' && weightsVersion !== '' && weightsVersion !== this.#weightsVersion
    if (!isOther || !this.#hasDelivered()) return []
    return [{ type: 'cancel', attempt }, ...this.#moveOn(attempt, 'weights_changed')]
  }

  #deliver ({ attempt, n, text }: EventOf<'token'>): AttemptAction[] {
    if (n < this.#next) return []
    if (n > this.#next || !Number.isSafeInteger(n)) return this.#noteLost(attempt, [{ type: 'cancel', attempt }])
    this.#next++
    this.#weightsVersion = this.#live.get(attempt)!.weightsVersion
    return [...this.#cancelOthers(attempt), { type: 'deliver', n, text }]
  }

  #noteUsage (usage: Usage): AttemptAction[] {
    this.#usage = usage
    return []
  }

  /** An end without usage, or with fewer tokens than it counts, is not the whole stream. */
  #finish (attempt: AttemptId): AttemptAction[] {
    const isWhole = this.#usage !== null && this.#usage.completionTokens <= this.#next
    if (!isWhole) return this.#noteLost(attempt, [])
    return this.#close([{ type: 'finish', usage: this.#usage }])
  }

  #noteRejected ({ attempt, status, retryAfterMs, message }: EventOf<'rejected'>): AttemptAction[] {
    if (NOT_STARTED_STATUSES.includes(status)) return this.#moveOnWithin(attempt, retryAfterMs)
    if (status >= 400 && status < 500) return this.#passOn(attempt, message)
    return this.#noteLost(attempt, [])
  }

  /** The engine's verdict on the request itself, which another endpoint would repeat. */
  #passOn (attempt: AttemptId, message: string): AttemptAction[] {
    this.#live.delete(attempt)
    return this.#close([{ type: 'fail', code: 'endpoint_rejected', ran: this.#nameRan(), retryAfterMs: null, message }])
  }

  #moveOnWithin (attempt: AttemptId, retryAfterMs: number | null): AttemptAction[] {
    if (this.#takePermit()) return this.#moveOn(attempt, 'endpoint_overloaded')
    return this.#drop(attempt, () => this.#fail('endpoint_overloaded', retryAfterMs ?? undefined))
  }

  #noteBroken (attempt: AttemptId, reason: BreakReason): AttemptAction[] {
    const { endpoint } = this.#live.get(attempt)!
    const isCrash = endpoint !== null && (reason === 'reset' || reason === 'lost')
    return this.#noteLost(attempt, isCrash ? [{ type: 'crashed', attempt, endpoint }] : [{ type: 'cancel', attempt }])
  }

  /** Bytes of the request were sent and its result will not come. */
  #noteLost (attempt: AttemptId, before: AttemptAction[]): AttemptAction[] {
    this.#sent = true
    return [...before, ...this.#drop(attempt, () => this.#retry())]
  }

  #retry (): AttemptAction[] {
    if (!this.#options.repeatable) return this.#fail('endpoint_failed')
    if (!this.#hasAttempts()) return this.#fail('endpoint_failed')
    return this.#takePermit() ? this.#placeLater('endpoint_failed') : this.#fail('retry_budget_spent')
  }

  /** Nothing of this attempt ran, so any request may go to another endpoint. */
  #moveOn (attempt: AttemptId, code: FailureCode): AttemptAction[] {
    return this.#drop(attempt, () => this.#hasAttempts() ? this.#placeNext() : this.#fail(code))
  }

  #skip (attempt: AttemptId, reason: 'no-endpoint' | 'all-excluded'): AttemptAction[] {
    return this.#drop(attempt, () => {
      if (reason === 'no-endpoint' || this.#excluded.size === 0 || !this.#hasAttempts()) return this.#fail('no_endpoint')
      this.#excluded.clear()
      return this.#placeLater('no_endpoint')
    })
  }

  /** Ends an attempt; what follows is left to another one that is under way. */
  #drop (attempt: AttemptId, follow: () => AttemptAction[]): AttemptAction[] {
    this.#live.delete(attempt)
    return this.#live.size > 0 ? [] : follow()
  }

  #hedge (): AttemptAction[] {
    const [only] = this.#live.values()
    const isWaiting = this.#live.size === 1 && only.endpoint !== null && !this.#hasDelivered() && this.#retries === 0
    if (!this.#options.repeatable || !isWaiting || !this.#hasAttempts() || !this.#takePermit()) return []
    return this.#placeNext()
  }

  #placeNext (): AttemptAction[] {
    return [this.#place(this.#open())]
  }

  /** Waits with jitter before the next attempt; a wait past the deadline is a failure at once. */
  #placeLater (code: FailureCode): AttemptAction[] {
    const { backOffMs, maxBackOffMs, deadlineAtMs } = this.#options
    const base = Math.min(maxBackOffMs, backOffMs * 2 ** this.#retries)
    const ms = Math.round(base * (0.5 + this.#rng.float()))
    this.#retries++
    if (performance.now() + ms >= deadlineAtMs) return this.#fail(code)
    return [{ type: 'wait', attempt: this.#open(), ms }]
  }

  #open (): AttemptId {
    this.#opened++
    const attempt = `${this.#options.requestId}-${this.#opened}`
    this.#live.set(attempt, { attempt, endpoint: null, incarnation: '', weightsVersion: '' })
    return attempt
  }

  #place (attempt: AttemptId): AttemptAction {
    return { type: 'place', attempt, excluded: [...this.#excluded], resumeFrom: this.#next }
  }

  #hasAttempts (): boolean {
    return this.#placed < this.#options.maxAttempts
  }

  #hasDelivered (): boolean {
    return this.#next > this.#options.resumeFrom
  }

  #cancelOthers (winner: AttemptId): AttemptAction[] {
    if (this.#live.size === 1) return []
    const others = [...this.#live.keys()].filter(attempt => attempt !== winner)
    for (const attempt of others) this.#live.delete(attempt)
    return others.map(attempt => ({ type: 'cancel', attempt }))
  }

  /** Bytes may have been sent as soon as an attempt was placed, until the endpoint is known not to have started. */
  #nameRan (): Ran {
    const isUnderWay = [...this.#live.values()].some(live => live.endpoint !== null)
    return this.#sent || isUnderWay ? 'may-have-run' : 'not-run'
  }

  #fail (code: FailureCode, retryAfterMs: number = this.#options.retryAfterMs): AttemptAction[] {
    const jittered = Math.round(retryAfterMs * (1 + this.#rng.float()))
    return this.#close([{ type: 'fail', code, ran: this.#nameRan(), retryAfterMs: jittered, message: null }])
  }

  /** Ends the request; whatever is under way is cancelled first. */
  #close (actions: AttemptAction[]): AttemptAction[] {
    this.#over = true
    const cancels = [...this.#live.keys()].map<AttemptAction>(attempt => ({ type: 'cancel', attempt }))
    this.#live.clear()
    return [...cancels, ...actions]
  }
}
