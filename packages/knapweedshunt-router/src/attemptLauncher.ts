import type { AttemptAction, AttemptEvent } from 'knapweedshunt-attempts'
import type { PlacedDecision, PlaceDecision } from 'knapweedshunt-placement'
import type { AttemptId, EndpointName } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { CallerRequest } from './callerRequest.ts'
import type { CallerSink } from './callerSink.ts'
import type { DataPath } from './dataPath.ts'
import type { EndpointEntry } from './endpointTable.ts'
import { nameSalt } from './nameSalt.ts'
import type { RunningAttempt } from './runningAttempts.ts'

type PlaceAction = Extract<AttemptAction, { type: 'place' }>

interface Launched {
  url: string
  abort: AbortController
}

/** Places and runs the attempts of one request, and tells the shared parts of their course. */
export class AttemptLauncher {
  readonly #path: DataPath
  readonly #request: CallerRequest
  readonly #sink: CallerSink
  readonly #take: (event: AttemptEvent) => void
  readonly #launched = new Map<AttemptId, Launched>()
  readonly #waiting = new Set<AttemptId>()

  constructor (path: DataPath, request: CallerRequest, sink: CallerSink, take: (event: AttemptEvent) => void) {
    this.#path = path
    this.#request = request
    this.#sink = sink
    this.#take = take
  }

  /** Sends the attempt to an endpoint, or reports why it can go to none. */
  place (action: PlaceAction): void {
    const { attempt } = action
    match(this.#path.suspects.check(this.#request))
      .with({ type: 'quarantined' }, ({ retryAfterMs }) => this.#take({ type: 'quarantined', attempt, retryAfterMs }))
      .with({ type: 'suspect' }, () => this.#placeAlone(action))
      .with({ type: 'clear' }, () => this.#placeNormal(action))
      .exhaustive()
  }

  /** Closes the attempt's connection and tells the engine. */
  cancel (attempt: AttemptId): void {
    if (this.#waiting.delete(attempt)) this.#path.suspects.noteFinished(attempt)
    const launched = this.#launched.get(attempt)
    if (launched === undefined) return
    launched.abort.abort()
    if (this.#request.work.type === 'completion') this.#path.client.cancel(launched.url, attempt, this.#path.agent)
  }

  #placeNormal (action: PlaceAction): void {
    const decision = this.#choose(action.excluded)
    if (decision.type === 'placed') return this.#start(action, decision)
    this.#take({ type: 'unplaceable', attempt: action.attempt, reason: decision.reason })
  }

  /** Full endpoints are left out, unless no others are left; then those set aside for suspects are used too. */
  #choose (tried: EndpointName[]): PlaceDecision {
    const { pool, levels, job } = this.#request
    const reserved = this.#path.suspects.listReserved(pool)
    const full = this.#path.gate.listFull(pool)
    const wider = [[...tried, ...reserved, ...full], [...tried, ...reserved]]
    for (const excluded of wider) {
      const decision = this.#path.placement.place({ pool, levels, excluded, job })
      if (decision.type === 'placed') return decision
    }
    return this.#path.placement.place({ pool, levels, excluded: tried, job })
  }

  #placeAlone (action: PlaceAction): void {
    const { attempt, excluded } = action
    const usable = this.#path.endpoints.listUsable(this.#request.pool)
    const open = usable.filter(entry => !excluded.includes(entry.endpoint))
    if (open.length === 0) return this.#take({ type: 'unplaceable', attempt, reason: usable.length === 0 ? 'no-endpoint' : 'all-excluded' })
    this.#waiting.add(attempt)
    const isQueued = this.#path.suspects.ask(this.#request, attempt, open.map(entry => entry.endpoint), endpoint => this.#startAlone(action, endpoint))
    if (isQueued) return
    this.#waiting.delete(attempt)
    this.#take({ type: 'unplaceable', attempt, reason: 'no-endpoint' })
  }

  /** The wait may have been long: the request and the endpoint are looked at again. */
  #startAlone (action: PlaceAction, endpoint: EndpointName): void {
    const { attempt } = action
    this.#waiting.delete(attempt)
    const state = this.#path.suspects.check(this.#request)
    const entry = this.#path.endpoints.find(endpoint)
    if (state.type !== 'quarantined' && entry?.usable) return this.#start(action, entry)
    this.#path.suspects.noteFinished(attempt)
    if (state.type === 'quarantined') this.#take({ type: 'quarantined', attempt, retryAfterMs: state.retryAfterMs })
    else this.#take({ type: 'unplaceable', attempt, reason: 'all-excluded' })
  }

  #start ({ attempt, resumeFrom }: PlaceAction, target: EndpointEntry | PlacedDecision): void {
    const { endpoint, url, incarnation } = target
    const { agent, client, placement, gate, suspects, running } = this.#path
    const abort = new AbortController()
    this.#launched.set(attempt, { url, abort })
    this.#take({ type: 'placed', attempt, endpoint, incarnation })
    placement.handleEvent({ type: 'started', attempt, endpoint, tokens: this.#countTokens(), levels: this.#request.levels, decision: 'type' in target ? target : undefined })
    gate.noteStarted(attempt, endpoint)
    suspects.lane.recordStart(attempt, endpoint)
    running.add({ attempt, endpoint, incarnation: '', startedAtMs: performance.now(), hasToken: false, lose: () => this.#lose(attempt) })
    let cachedTokens: number | null = null
    const emit = (event: AttemptEvent) => {
      if (event.type === 'usage') cachedTokens = event.usage.cachedTokens
      this.#observe(attempt, endpoint, event)
      this.#take(event)
    }
    client.run({
      attempt,
      url,
      request: this.#request,
      salt: nameSalt(this.#path, this.#request, endpoint),
      resumeFrom,
      agent,
      signal: abort.signal,
      stall: this.#request.repeatable ? this.#path.stall : null,
      emit,
      waitDrain: () => this.#sink.waitDrain?.(abort.signal) ?? null
    }).finally(() => this.#finish(attempt, cachedTokens)).catch(error => this.#path.log.error('Attempt failed inside.', { requestId: this.#request.requestId, reason: String(error) }))
  }

  #lose (attempt: AttemptId): void {
    this.#take({ type: 'broken', attempt, reason: 'lost' })
    this.#launched.get(attempt)?.abort.abort()
  }

  #finish (attempt: AttemptId, cachedTokens: number | null): void {
    this.#launched.delete(attempt)
    this.#path.running.release(attempt)
    this.#path.placement.handleEvent({ type: 'finished', attempt, cachedTokens })
    this.#path.gate.noteFinished(attempt)
    this.#path.suspects.noteFinished(attempt)
  }

  /** What the windows, hedges and membership learn from an attempt. */
  #observe (attempt: AttemptId, endpoint: EndpointName, event: AttemptEvent): void {
    const running = this.#path.running.find(attempt)
    if (running === undefined) return
    this.#report(endpoint, event)
    if (event.type === 'head') this.#noteHead(running, event)
    const isOverload = event.type === 'stalled' || (event.type === 'rejected' && event.status >= 429)
    if (isOverload) this.#path.gate.noteOverloaded(endpoint)
    if (event.type === 'token' && !running.hasToken) this.#noteFirstToken(running.startedAtMs, endpoint)
    if (event.type === 'token') running.hasToken = true
  }

  /** What control learns from an attempt; losses that control itself made known are not told back. */
  #report (endpoint: EndpointName, event: AttemptEvent): void {
    const { observer } = this.#path
    if (event.type === 'head') observer.note(endpoint, 'answered')
    if (event.type === 'refused') observer.note(endpoint, 'refused')
    if (event.type === 'broken' && event.reason !== 'lost') observer.note(endpoint, 'failed')
  }

  #noteHead (running: RunningAttempt, { attempt, incarnation, weightsVersion }: Extract<AttemptEvent, { type: 'head' }>): void {
    running.incarnation = incarnation
    this.#path.placement.handleEvent({ type: 'answered', attempt, incarnation, weightsVersion: weightsVersion || null })
  }

  #noteFirstToken (startedAtMs: number, endpoint: EndpointName): void {
    const delayMs = performance.now() - startedAtMs
    this.#path.gate.noteDelay(endpoint, delayMs, this.#countTokens())
    this.#path.hedges.note(this.#request.pool, delayMs)
  }

  #countTokens (): number {
    return this.#request.levels.at(-1)?.tokens ?? 0
  }
}
