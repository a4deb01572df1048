import type { DataCentreId, EndpointName, PrefixLevel } from 'knapweedshunt-types'
import { createRng } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import { AttemptTable } from './attemptTable.ts'
import type { ReusedLevel, RunningAttempt } from './attemptTable.ts'
import { applyCacheEvents } from './applyCacheEvents.ts'
import { EndpointDirectory } from './endpointDirectory.ts'
import type { EndpointState } from './endpointState.ts'
import { GroupChooser } from './groupChooser.ts'
import type { PlacementContext, GroupChoice } from './groupChooser.ts'
import { KvStoreIndex } from './kvStoreIndex.ts'
import { KeyTable } from './keyTable.ts'
import { listHotKeys } from './listHotKeys.ts'
import { findObjectiveWeights } from './objectiveWeights.ts'
import { NearDataCentres } from './nearDataCentres.ts'
import { PeerDemands } from './peerDemands.ts'
import { checkPlacementOptions } from './placementOptions.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { KeyDemand, PlaceDecision, PlaceRequest, PlacementEvent } from './placementTypes.ts'
import { correctDemand, limitLevels, recordDemand } from './prefixChain.ts'
import { isClearlyLessLoaded, rankGroups } from './rankGroups.ts'

/** Interval between removals of expired attempts and silent peers, in milliseconds. */
const SWEEP_INTERVAL_MS = 1_000

/** A level counts as cached when the endpoint reports at least this share of its estimated tokens. */
const MIN_CACHED_SHARE = 0.8

/** Chooses an endpoint for each request. Performs no I/O; the caller reports what happened as events. */
export class Placement {
  readonly #nearDataCentres: NearDataCentres
  readonly #options: PlacementOptions
  readonly #directory: EndpointDirectory
  readonly #attempts: AttemptTable
  readonly #keys: KeyTable
  readonly #kvStore: KvStoreIndex
  readonly #peerDemands = new PeerDemands()
  readonly #groupChooser: GroupChooser
  #sweptAtMs = -Infinity

  /** Throws PlacementError for an invalid option. */
  constructor (dataCentre: DataCentreId, options: Partial<PlacementOptions> = {}) {
    this.#options = checkPlacementOptions(options)
    this.#nearDataCentres = new NearDataCentres(dataCentre, this.#options.nearDataCentres)
    this.#directory = new EndpointDirectory(this.#nearDataCentres, this.#options)
    this.#attempts = new AttemptTable(this.#options.attemptTimeoutMs)
    this.#keys = new KeyTable(this.#options.keyCapacity)
    this.#kvStore = new KvStoreIndex(this.#options)
    const rng = createRng(this.#options.seed)
    this.#groupChooser = new GroupChooser({ options: this.#options, keys: this.#keys, peerDemands: this.#peerDemands, kvStore: this.#kvStore, near: this.#nearDataCentres, rng })
  }

  /** Updates the state from an event; lost, duplicate and late events are tolerated. */
  handleEvent (event: PlacementEvent): void {
    const nowMs = performance.now()
    this.#sweep(nowMs)
    match(event)
      .with({ type: 'snapshot' }, ({ snapshot }) => this.#directory.applySnapshot(snapshot, nowMs))
      .with({ type: 'started' }, started => this.#handleStarted(started, nowMs))
      .with({ type: 'answered' }, answered => this.#handleAnswered(answered, nowMs))
      .with({ type: 'finished' }, finished => this.#handleFinished(finished, nowMs))
      .with({ type: 'cacheEvents' }, events => this.#handleCacheEvents(events, nowMs))
      .with({ type: 'peerDemand' }, demand => { if (this.#nearDataCentres.has(demand.dataCentre)) this.#peerDemands.updatePeer(demand, nowMs) })
      .with({ type: 'kvStore' }, ({ entries }) => this.#kvStore.replaceEntries(entries))
      .exhaustive()
  }

  /** Number of attempts started and not finished, over all endpoints. */
  get inFlight (): number {
    return this.#attempts.size
  }

  /** Number of attempts started and not finished on the endpoint's current incarnation. */
  countInFlight (endpoint: EndpointName): number {
    return this.#directory.findRecord(endpoint)?.state.running ?? 0
  }

  /** Lists this router's hot keys, highest demand first, to send to peers of the same data centre. */
  listHotKeys (): KeyDemand[] {
    return listHotKeys(this.#keys, this.#options, performance.now())
  }

  /** Chooses an endpoint. Another data centre is used only if no local endpoint is eligible or the local wait is too long. */
  place (request: PlaceRequest): PlaceDecision {
    const nowMs = performance.now()
    this.#sweep(nowMs)
    const pool = this.#directory.findPool(request.pool)
    if (pool === undefined || !pool.hasUsableEndpoint) return { type: 'unplaceable', reason: 'no-endpoint' }
    const levels = limitLevels(request.levels)
    const weights = findObjectiveWeights(this.#options.objectives, pool.objective, request.job ?? 'short')
    const chosen = this.#choose({ pool, levels, excluded: request.excluded, unavailable: request.unavailable ?? [], weights, nowMs })
    if (chosen === undefined) return { type: 'unplaceable', reason: 'all-excluded' }
    if (levels.length > 0) recordDemand(levels, chosen.candidate.cachedTokens, this.#keys, this.#options, nowMs)
    return this.#groupChooser.describe(chosen)
  }

  /** Lists the usable endpoints of this data centre in the order of preference for a prefix; equal on all routers with equal snapshots and demand. */
  rank (request: Pick<PlaceRequest, 'pool' | 'levels'>): EndpointName[] {
    const pool = this.#directory.findPool(request.pool)
    const group = pool?.findGroup(this.#nearDataCentres.own)
    if (pool === undefined || group === undefined) return []
    const chain = this.#groupChooser.buildChain(limitLevels(request.levels), group, pool, performance.now())
    const outermost = chain.length === 0 ? group.members : chain[0].key.rankAll(group.members)
    const ordered = [...chain.toReversed().flatMap(link => link.subset), ...outermost]
    return [...new Set(ordered)].map(state => state.endpoint)
  }

  #choose (context: PlacementContext): GroupChoice | undefined {
    const group = context.pool.findGroup(this.#nearDataCentres.own)
    const local = group && this.#groupChooser.choose(group, context)
    const remoteTokens = context.weights.remoteWaitThresholdMs * this.#options.prefillTokensPerS / 1_000
    if (local !== undefined && local.candidate.waitTokens <= remoteTokens) return local
    return this.#chooseRemote(context, local) ?? local
  }

  /** Without a local choice any other data centre is eligible; otherwise only one whose load reports show clearly less load. */
  #chooseRemote (context: PlacementContext, local: GroupChoice | undefined): GroupChoice | undefined {
    const key = context.levels[0]?.key ?? context.pool.pool
    for (const group of rankGroups(key, context.pool.listGroups())) {
      if (group.dataCentre === this.#nearDataCentres.own) continue
      if (local !== undefined && !isClearlyLessLoaded(group, local, context.nowMs)) continue
      const remote = this.#groupChooser.choose(group, context)
      if (remote !== undefined && (local === undefined || remote.candidate.cost < local.candidate.cost)) return remote
    }
    return undefined
  }

  #handleStarted (event: Extract<PlacementEvent, { type: 'started' }>, nowMs: number): void {
    const state = this.#directory.findRecord(event.endpoint)?.state
    if (state === undefined) return
    const isCurrentIncarnation = event.decision === undefined || event.decision.incarnation === state.incarnation
    const levels = isCurrentIncarnation ? limitLevels(event.levels ?? []) : []
    const expectedTokens = event.decision?.expectedCachedTokens ?? 0
    const reusedLevels = this.#listReusedLevels(levels, state, nowMs)
    if (!this.#attempts.start(event.attempt, { state, levels, expectedTokens, reusedLevels, atMs: nowMs })) return
    state.recordAttemptStart(countTokensToCompute(event), nowMs)
    for (const { key } of levels) this.#keys.getOrCreate(key, nowMs).recordObservation({ state, isCached: true, atMs: nowMs, attempt: event.attempt, cacheStreamEpoch: state.cacheStreamEpoch })
  }

  #listReusedLevels (levels: PrefixLevel[], state: EndpointState, nowMs: number): ReusedLevel[] {
    return levels.flatMap(({ key, tokens }) => {
      const observation = this.#keys.find(key)?.findObservation(state, nowMs - this.#options.observationTtlMs)
      return observation?.isCached ? [{ tokens, ageMs: nowMs - observation.atMs }] : []
    })
  }

  #handleAnswered ({ attempt, incarnation, weightsVersion }: Extract<PlacementEvent, { type: 'answered' }>, nowMs: number): void {
    const running = this.#attempts.find(attempt)
    if (running === undefined) return
    const { state } = running
    const identity = { incarnation, weightsVersion: weightsVersion ?? state.weightsVersion, adapter: state.adapter }
    this.#directory.updateIdentity(state.endpoint, identity, nowMs)
  }

  /** An attempt that ended without reporting its token usage may not have filled the cache. */
  #handleFinished ({ attempt, cachedTokens }: Extract<PlacementEvent, { type: 'finished' }>, nowMs: number): void {
    const running = this.#attempts.finish(attempt)
    if (running === undefined) return
    for (const { key } of cachedTokens === null ? running.levels : []) this.#keys.find(key)?.removeAttemptObservations(attempt)
    if (cachedTokens === null) return
    this.#recordReuse(running, cachedTokens)
    correctDemand(running.levels, running.expectedTokens, cachedTokens, this.#keys, nowMs)
  }

  /** Updates the cache lifetime estimate. Token counts of levels are estimates, so slightly fewer cached tokens still count as the whole level. */
  #recordReuse ({ state, reusedLevels }: RunningAttempt, cachedTokens: number): void {
    const cacheLifetime = this.#directory.findPool(state.spec.pool)?.cacheLifetime
    for (const { tokens, ageMs } of reusedLevels) cacheLifetime?.recordReuse(ageMs, cachedTokens >= tokens * MIN_CACHED_SHARE)
  }

  #handleCacheEvents (event: Extract<PlacementEvent, { type: 'cacheEvents' }>, nowMs: number): void {
    const state = this.#directory.findRecord(event.endpoint)?.state
    if (state === undefined || state.incarnation !== event.incarnation || state.weightsVersion !== event.weightsVersion) return
    applyCacheEvents(event, state, this.#keys, nowMs)
  }

  #sweep (nowMs: number): void {
    if (nowMs - this.#sweptAtMs < SWEEP_INTERVAL_MS) return
    this.#sweptAtMs = nowMs
    this.#attempts.endExpired(nowMs)
    this.#peerDemands.evictSilentPeers(nowMs)
  }
}

function countTokensToCompute ({ tokens, decision }: Extract<PlacementEvent, { type: 'started' }>): number {
  const availableTokens = Math.max(decision?.kvImport?.tokens ?? 0, decision?.expectedCachedTokens ?? 0)
  return Math.max(0, tokens - availableTokens)
}
