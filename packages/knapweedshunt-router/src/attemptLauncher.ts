import type { AttemptAction, AttemptEvent, StreamVersions } from 'knapweedshunt-attempts'
import type { PlacedDecision, PlaceDecision } from 'knapweedshunt-placement'
import type { AttemptId, EndpointName } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { CallerRequest } from './callerRequest.ts'
import type { CallerSink } from './callerSink.ts'
import type { DataPath } from './dataPath.ts'
import type { EndpointEntry } from './endpointTable.ts'
import { computeCacheSalt } from './computeCacheSalt.ts'
import { launchRelay } from './relays/launchRelay.ts'
import { listRelayVms } from './relays/relayName.ts'
import type { RelayTarget } from './relays/relayTarget.ts'
import type { RunningAttempt } from './runningAttempts.ts'

type PlaceAction = Extract<AttemptAction, { type: 'place' }>

const UNKNOWN_VERSIONS: StreamVersions = { softwareVersion: '', weightsVersion: '' }

interface LaunchedAttempt {
  /** Null for an attempt through another router. */
  url: string | null
  abort: AbortController
}

/** Places and runs the attempts of one request, and reports their events to the shared parts of the data path. */
export class AttemptLauncher {
  readonly #dataPath: DataPath
  readonly #request: CallerRequest
  readonly #sink: CallerSink
  readonly #onEvent: (event: AttemptEvent) => void
  readonly #launched = new Map<AttemptId, LaunchedAttempt>()
  readonly #awaitingIsolation = new Set<AttemptId>()
  readonly #awaitingRoute = new Set<AttemptId>()

  constructor (dataPath: DataPath, request: CallerRequest, sink: CallerSink, onEvent: (event: AttemptEvent) => void) {
    this.#dataPath = dataPath
    this.#request = request
    this.#sink = sink
    this.#onEvent = onEvent
  }

  /** Sends the attempt to an endpoint that may have the versions, empty for any, or to another router that reaches more endpoints, or emits an event that says why it cannot be placed. */
  place (action: PlaceAction, versions: StreamVersions = UNKNOWN_VERSIONS): void {
    const { pool, relayHeaders } = this.#request
    if (relayHeaders === null || !this.#dataPath.relays.needsRelay(pool)) return this.#placeHere(action, versions.softwareVersion)
    this.#placeByRoute(action, versions, relayHeaders).catch(error => this.#dataPath.log.error('Selecting another router failed with an internal error.', { requestId: this.#request.requestId, reason: String(error) }))
  }

  async #placeByRoute (action: PlaceAction, versions: StreamVersions, relayHeaders: Record<string, string>): Promise<void> {
    const { attempt, excluded } = action
    this.#awaitingRoute.add(attempt)
    const route = await this.#dataPath.relays.select(this.#request.pool, listRelayVms(excluded))
    if (!this.#awaitingRoute.delete(attempt)) return
    match(route)
      .with({ type: 'relay' }, ({ peer }) => this.#startRelayed(action, peer, versions, relayHeaders))
      .with({ type: 'direct' }, { type: 'unreached' }, () => this.#placeHere(action, versions.softwareVersion))
      .exhaustive()
  }

  #placeHere (action: PlaceAction, softwareVersion: string): void {
    const { attempt } = action
    match(this.#dataPath.suspectGuard.check(this.#request))
      .with({ type: 'quarantined' }, ({ retryAfterMs }) => this.#onEvent({ type: 'quarantined', attempt, retryAfterMs }))
      .with({ type: 'suspect' }, () => this.#placeIsolated(action, softwareVersion))
      .with({ type: 'clear' }, () => this.#placeUnrestricted(action, softwareVersion))
      .exhaustive()
  }

  /** Closes the attempt's connection and asks the engine to cancel its work. */
  cancel (attempt: AttemptId): void {
    this.#awaitingRoute.delete(attempt)
    if (this.#awaitingIsolation.delete(attempt)) this.#dataPath.suspectGuard.handleFinish(attempt)
    const launched = this.#launched.get(attempt)
    if (launched === undefined) return
    launched.abort.abort()
    if (this.#request.work.type === 'completion' && launched.url !== null) this.#dataPath.endpointClient.cancel(launched.url, attempt, this.#dataPath.agent)
  }

  #placeUnrestricted (action: PlaceAction, softwareVersion: string): void {
    const { attempt } = action
    const { endpoints, endpointLimiter, softwareVersions } = this.#dataPath
    const usable = endpoints.listUsable(this.#request.pool)
    const otherEndpoints = softwareVersions.listOthers(usable, softwareVersion)
    if (usable.length > 0 && otherEndpoints.length === usable.length) return this.#onEvent({ type: 'unplaceable', attempt, reason: 'other-software' })
    const excluded = [...action.excluded, ...otherEndpoints]
    const usedEndpoints = endpointLimiter.listUsed(usable)
    endpointLimiter.recordDemand(this.#request.pool)
    const decision = this.#chooseEndpoint(excluded, usedEndpoints)
    if (decision.type === 'placed') return this.#start(action, decision)
    if (usedEndpoints.some(endpoint => !excluded.includes(endpoint))) return this.#onEvent({ type: 'limited', attempt, retryAfterMs: endpointLimiter.findWaitMs(usable) })
    this.#onEvent({ type: 'unplaceable', attempt, reason: decision.reason })
  }

  /** Excludes endpoints whose rate limit is used, full ones and those reserved for suspect requests. If no endpoint remains, full endpoints are allowed; if still none remains, reserved ones are too. */
  #chooseEndpoint (triedEndpoints: EndpointName[], usedEndpoints: EndpointName[]): PlaceDecision {
    const { pool, levels, job } = this.#request
    const reservedEndpoints = this.#dataPath.suspectGuard.listReserved(pool)
    const fullEndpoints = this.#dataPath.admission.listFullEndpoints(pool)
    const exclusions = [[...triedEndpoints, ...reservedEndpoints, ...fullEndpoints], [...triedEndpoints, ...reservedEndpoints]]
    for (const excluded of exclusions) {
      const decision = this.#dataPath.placement.place({ pool, levels, excluded, unavailable: usedEndpoints, job })
      if (decision.type === 'placed') return decision
    }
    return this.#dataPath.placement.place({ pool, levels, excluded: triedEndpoints, unavailable: usedEndpoints, job })
  }

  #placeIsolated (action: PlaceAction, softwareVersion: string): void {
    const { attempt, excluded } = action
    const usable = this.#dataPath.endpoints.listUsable(this.#request.pool)
    const used = this.#dataPath.endpointLimiter.listUsed(usable)
    const others = this.#dataPath.softwareVersions.listOthers(usable, softwareVersion)
    if (usable.length > 0 && others.length === usable.length) return this.#onEvent({ type: 'unplaceable', attempt, reason: 'other-software' })
    const untried = usable.filter(entry => !others.includes(entry.endpoint) && !excluded.includes(entry.endpoint) && !used.includes(entry.endpoint))
    if (untried.length === 0) return this.#onEvent({ type: 'unplaceable', attempt, reason: usable.length === 0 ? 'no-endpoint' : 'all-excluded' })
    this.#awaitingIsolation.add(attempt)
    const isQueued = this.#dataPath.suspectGuard.requestIsolation(this.#request, attempt, untried.map(entry => entry.endpoint), endpoint => this.#startIsolated(action, endpoint))
    if (isQueued) return
    this.#awaitingIsolation.delete(attempt)
    this.#onEvent({ type: 'unplaceable', attempt, reason: 'no-endpoint' })
  }

  /** Checks request and endpoint again, since both may have changed during the wait for an isolated endpoint. */
  #startIsolated (action: PlaceAction, endpoint: EndpointName): void {
    const { attempt } = action
    this.#awaitingIsolation.delete(attempt)
    const state = this.#dataPath.suspectGuard.check(this.#request)
    const entry = this.#dataPath.endpoints.find(endpoint)
    if (state.type !== 'quarantined' && entry?.isUsable && this.#dataPath.endpointLimiter.canSend(entry)) return this.#start(action, entry)
    this.#dataPath.suspectGuard.handleFinish(attempt)
    if (state.type === 'quarantined') this.#onEvent({ type: 'quarantined', attempt, retryAfterMs: state.retryAfterMs })
    else this.#onEvent({ type: 'unplaceable', attempt, reason: 'all-excluded' })
  }

  #start ({ attempt, resumeFrom }: PlaceAction, target: EndpointEntry | PlacedDecision): void {
    const { endpoint, url, incarnation } = target
    const { agent, endpointClient, placement, admission, suspectGuard, runningAttempts, endpointLimiter, responseMemory } = this.#dataPath
    const share = responseMemory.open()
    const startedAtMs = performance.now()
    endpointLimiter.tryTake(endpoint)
    const abort = new AbortController()
    this.#launched.set(attempt, { url, abort })
    this.#onEvent({ type: 'placed', attempt, endpoint, incarnation })
    placement.handleEvent({ type: 'started', attempt, endpoint, tokens: this.#countPromptTokens(), levels: this.#request.levels, decision: 'type' in target ? target : undefined })
    admission.recordAttemptStart(attempt, endpoint)
    suspectGuard.isolator.recordStart(attempt, endpoint)
    runningAttempts.add({ attempt, endpoint, incarnation: '', startedAtMs: performance.now(), hasFirstToken: false, handleEndpointLoss: () => this.#handleEndpointLoss(attempt) })
    let cachedTokens: number | null = null
    const emit = (event: AttemptEvent) => {
      if (event.type === 'usage') cachedTokens = event.usage.cachedTokens
      this.#recordEvent(attempt, endpoint, event)
      this.#onEvent(event)
    }
    endpointClient.run({
      attempt,
      url,
      request: this.#request,
      salt: computeCacheSalt(this.#dataPath, this.#request, endpoint),
      resumeFrom,
      share,
      recordLimit: requestsPerS => endpointLimiter.recordStated(endpoint, this.#request.pool, requestsPerS, startedAtMs),
      recordSignals: signals => endpointLimiter.recordSignals({ endpoint, incarnation, pool: this.#request.pool }, signals, startedAtMs),
      agent,
      signal: abort.signal,
      stallLimits: this.#request.repeatable ? this.#dataPath.stallLimits : null,
      emit,
      waitDrain: () => this.#sink.waitDrain?.(abort.signal) ?? null
    }).finally(() => {
      share.release()
      this.#handleFinish(attempt, cachedTokens)
    }).catch(error => this.#dataPath.log.error('Attempt failed with an internal error.', { requestId: this.#request.requestId, reason: String(error) }))
  }

  #startRelayed ({ attempt, resumeFrom }: PlaceAction, target: RelayTarget, versions: StreamVersions, callerHeaders: Record<string, string>): void {
    const abort = new AbortController()
    this.#launched.set(attempt, { url: null, abort })
    launchRelay(this.#dataPath, { attempt, request: this.#request, sink: this.#sink, target, resumeFrom, versions, callerHeaders, signal: abort.signal, onEvent: this.#onEvent })
      .finally(() => this.#launched.delete(attempt))
      .catch(error => this.#dataPath.log.error('Relayed attempt failed with an internal error.', { requestId: this.#request.requestId, reason: String(error) }))
  }

  #handleEndpointLoss (attempt: AttemptId): void {
    this.#onEvent({ type: 'broken', attempt, reason: 'lost' })
    this.#launched.get(attempt)?.abort.abort()
  }

  #handleFinish (attempt: AttemptId, cachedTokens: number | null): void {
    this.#launched.delete(attempt)
    this.#dataPath.runningAttempts.remove(attempt)
    this.#dataPath.placement.handleEvent({ type: 'finished', attempt, cachedTokens })
    this.#dataPath.admission.recordAttemptFinish(attempt)
    this.#dataPath.suspectGuard.handleFinish(attempt)
  }

  /** Updates the concurrency windows, hedge delays and membership from an event of an attempt. */
  #recordEvent (attempt: AttemptId, endpoint: EndpointName, event: AttemptEvent): void {
    const running = this.#dataPath.runningAttempts.find(attempt)
    if (running === undefined) return
    this.#reportOutcome(endpoint, event)
    if (event.type === 'head') this.#handleHead(running, endpoint, event)
    const isOverload = event.type === 'stalled' || (event.type === 'rejected' && event.status >= 429)
    if (isOverload) this.#dataPath.admission.recordOverload(endpoint)
    if (event.type === 'token' && !running.hasFirstToken) this.#recordFirstToken(running.startedAtMs, endpoint)
    if (event.type === 'token') running.hasFirstToken = true
  }

  /** Reports the outcome of an attempt to control. Losses are left out, since control reported them to the router in the first place, and so is a lack of room, which says nothing of the endpoint. */
  #reportOutcome (endpoint: EndpointName, event: AttemptEvent): void {
    const { outcomeReporter, endpointReach } = this.#dataPath
    if (event.type === 'head' || event.type === 'answer' || event.type === 'rejected') endpointReach.recordConnection(endpoint, true)
    if (event.type === 'refused' || (event.type === 'broken' && event.reason === 'unreached')) endpointReach.recordConnection(endpoint, false)
    if (event.type === 'head') outcomeReporter.recordOutcome(endpoint, 'answered')
    if (event.type === 'refused') outcomeReporter.recordOutcome(endpoint, 'refused')
    if (event.type === 'broken' && event.reason !== 'lost' && event.reason !== 'no-room') outcomeReporter.recordOutcome(endpoint, 'failed')
  }

  #handleHead (running: RunningAttempt, endpoint: EndpointName, { attempt, incarnation, weightsVersion, softwareVersion }: Extract<AttemptEvent, { type: 'head' }>): void {
    running.incarnation = incarnation
    this.#dataPath.softwareVersions.recordStated(endpoint, this.#request.pool, incarnation, softwareVersion)
    this.#dataPath.placement.handleEvent({ type: 'answered', attempt, incarnation, weightsVersion: weightsVersion || null })
  }

  #recordFirstToken (startedAtMs: number, endpoint: EndpointName): void {
    const delayMs = performance.now() - startedAtMs
    this.#dataPath.admission.recordFirstTokenDelay(endpoint, delayMs, this.#countPromptTokens())
    this.#dataPath.hedgeDelays.recordDelay(this.#request.pool, delayMs)
  }

  #countPromptTokens (): number {
    return this.#request.levels.at(-1)?.tokens ?? 0
  }
}
