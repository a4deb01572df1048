import type { DataCentreId, EndpointName, PrefixLevel } from 'knapweedshunt-types'
import { createRng } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import { AttemptTable } from './attemptTable.ts'
import type { ReusedLevel, RunningAttempt } from './attemptTable.ts'
import { takeCacheEvents } from './cacheFollower.ts'
import { EndpointDirectory } from './endpointDirectory.ts'
import type { EndpointState } from './endpointState.ts'
import { GroupChooser } from './groupChooser.ts'
import type { Choice, GroupChoice } from './groupChooser.ts'
import { KeptTable } from './keptTable.ts'
import { KeyTable } from './keyTable.ts'
import { listHotKeys } from './listHotKeys.ts'
import { findObjectiveWeights } from './objectiveWeights.ts'
import { NearDataCentres } from './nearDataCentres.ts'
import { PeerDemands } from './peerDemands.ts'
import { checkPlacementOptions } from './placementOptions.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { KeyDemand, PlaceDecision, PlaceRequest, PlacementEvent } from './placementTypes.ts'
import { recordCachedTokens, listFollowed, noteDemand } from './prefixChain.ts'
import { isClearlyFreer, rankGroups } from './rankGroups.ts'

/** Time between searches for what has grown too old, in milliseconds. */
const SWEEP_MS = 1_000

/** Share of a level's estimated tokens from which on it counts as cached. */
const FULL_SHARE = 0.8

/** Chooses endpoints. Opens nothing; the caller reports what happened as events. */
export class Placement {
  readonly #near: NearDataCentres
  readonly #options: PlacementOptions
  readonly #directory: EndpointDirectory
  readonly #attempts: AttemptTable
  readonly #keys: KeyTable
  readonly #kept: KeptTable
  readonly #peers = new PeerDemands()
  readonly #chooser: GroupChooser
  #sweptAtMs = -Infinity

  /** Throws PlacementError for an option that cannot be used. */
  constructor (dataCentre: DataCentreId, options: Partial<PlacementOptions> = {}) {
    this.#options = checkPlacementOptions(options)
    this.#near = new NearDataCentres(dataCentre, this.#options.nearDataCentres)
    this.#directory = new EndpointDirectory(this.#near, this.#options)
    this.#attempts = new AttemptTable(this.#options.attemptMs)
    this.#keys = new KeyTable(this.#options.keyCapacity)
    this.#kept = new KeptTable(this.#options)
    const rng = createRng(this.#options.seed)
    this.#chooser = new GroupChooser({ options: this.#options, keys: this.#keys, peers: this.#peers, kept: this.#kept, near: this.#near, rng })
  }

  /** Takes an event. */
  take (event: PlacementEvent): void {
    const nowMs = performance.now()
    this.#sweep(nowMs)
    match(event)
      .with({ type: 'snapshot' }, ({ snapshot }) => this.#directory.takeSnapshot(snapshot, nowMs))
      .with({ type: 'started' }, started => this.#takeStarted(started, nowMs))
      .with({ type: 'answered' }, answered => this.#takeAnswered(answered, nowMs))
      .with({ type: 'finished' }, finished => this.#takeFinished(finished, nowMs))
      .with({ type: 'cacheEvents' }, events => this.#takeCacheEvents(events, nowMs))
      .with({ type: 'peerDemand' }, demand => { if (this.#near.has(demand.dataCentre)) this.#peers.take(demand, nowMs) })
      .with({ type: 'kept' }, ({ entries }) => this.#kept.take(entries))
      .exhaustive()
  }

  /** Attempts started and not finished. */
  get inFlight (): number {
    return this.#attempts.size
  }

  /** Attempts started and not finished on the endpoint's present incarnation. */
  countInFlight (endpoint: EndpointName): number {
    return this.#directory.findRecord(endpoint)?.state.running ?? 0
  }

  /** Own hot keys, hottest first, for peers of the same data centre. */
  listHotKeys (): KeyDemand[] {
    return listHotKeys(this.#keys, this.#options, performance.now())
  }

  /** Chooses an endpoint: of this data centre unless its endpoints cannot take the request. */
  place (request: PlaceRequest): PlaceDecision {
    const nowMs = performance.now()
    this.#sweep(nowMs)
    const pool = this.#directory.findPool(request.pool)
    if (pool === undefined || !pool.hasUsable) return { type: 'unplaceable', reason: 'no-endpoint' }
    const levels = listFollowed(request.levels)
    const weights = findObjectiveWeights(this.#options.objectives, pool.objective, request.job ?? 'short')
    const chosen = this.#choose({ pool, levels, excluded: request.excluded, unavailable: request.unavailable ?? [], weights, nowMs })
    if (chosen === undefined) return { type: 'unplaceable', reason: 'all-excluded' }
    if (levels.length > 0) noteDemand(levels, chosen.candidate.cachedTokens, this.#keys, this.#options, nowMs)
    return this.#chooser.describe(chosen)
  }

  /** Usable endpoints of this data centre in the order in which a prefix uses them; equal on all routers with equal snapshots and demand. */
  rank (request: Pick<PlaceRequest, 'pool' | 'levels'>): EndpointName[] {
    const pool = this.#directory.findPool(request.pool)
    const group = pool?.findGroup(this.#near.own)
    if (pool === undefined || group === undefined) return []
    const chain = this.#chooser.buildChain(listFollowed(request.levels), group, pool, performance.now())
    const outermost = chain.length === 0 ? group.members : chain[0].key.rankAll(group.members)
    const ordered = [...chain.toReversed().flatMap(link => link.subset), ...outermost]
    return [...new Set(ordered)].map(state => state.endpoint)
  }

  #choose (choice: Choice): GroupChoice | undefined {
    const group = choice.pool.findGroup(this.#near.own)
    const local = group && this.#chooser.choose(group, choice)
    const remoteTokens = choice.weights.remoteMs * this.#options.prefillTokensPerS / 1_000
    if (local !== undefined && local.candidate.waitTokens <= remoteTokens) return local
    return this.#chooseRemote(choice, local) ?? local
  }

  /** Without a local choice any data centre will do; else only one whose reports show clearly less load. */
  #chooseRemote (choice: Choice, local: GroupChoice | undefined): GroupChoice | undefined {
    const key = choice.levels[0]?.key ?? choice.pool.pool
    for (const group of rankGroups(key, choice.pool.listGroups())) {
      if (group.dataCentre === this.#near.own) continue
      if (local !== undefined && !isClearlyFreer(group, local, choice.nowMs)) continue
      const remote = this.#chooser.choose(group, choice)
      if (remote !== undefined && (local === undefined || remote.candidate.cost < local.candidate.cost)) return remote
    }
    return undefined
  }

  #takeStarted (event: Extract<PlacementEvent, { type: 'started' }>, nowMs: number): void {
    const state = this.#directory.findRecord(event.endpoint)?.state
    if (state === undefined) return
    const isPresent = event.decision === undefined || event.decision.incarnation === state.incarnation
    const levels = isPresent ? listFollowed(event.levels ?? []) : []
    const expectedTokens = event.decision?.expectedCachedTokens ?? 0
    const reused = this.#listReused(levels, state, nowMs)
    if (!this.#attempts.start(event.attempt, { state, levels, expectedTokens, reused, atMs: nowMs })) return
    state.noteStart(countTokens(event), nowMs)
    for (const { key } of levels) this.#keys.take(key, nowMs).noteEvidence({ state, present: true, atMs: nowMs, attempt: event.attempt, followEpoch: state.followEpoch })
  }

  #listReused (levels: PrefixLevel[], state: EndpointState, nowMs: number): ReusedLevel[] {
    return levels.flatMap(({ key, tokens }) => {
      const evidence = this.#keys.find(key)?.findEvidence(state, nowMs - this.#options.evidenceMs)
      return evidence?.present ? [{ tokens, ageMs: nowMs - evidence.atMs }] : []
    })
  }

  #takeAnswered ({ attempt, incarnation, weightsVersion }: Extract<PlacementEvent, { type: 'answered' }>, nowMs: number): void {
    const running = this.#attempts.find(attempt)
    if (running === undefined) return
    const { state } = running
    const identity = { incarnation, weightsVersion: weightsVersion ?? state.weightsVersion, adapter: state.adapter }
    this.#directory.takeIdentity(state.endpoint, identity, nowMs)
  }

  /** An attempt that ended without its usage may not have filled the cache. */
  #takeFinished ({ attempt, cachedTokens }: Extract<PlacementEvent, { type: 'finished' }>, nowMs: number): void {
    const running = this.#attempts.finish(attempt)
    if (running === undefined) return
    for (const { key } of cachedTokens === null ? running.levels : []) this.#keys.find(key)?.dropAttempt(attempt)
    if (cachedTokens === null) return
    this.#noteLife(running, cachedTokens)
    recordCachedTokens(running.levels, running.expectedTokens, cachedTokens, this.#keys, nowMs)
  }

  /** Counts of tokens are estimates, so that a little less than a level still is the level. */
  #noteLife ({ state, reused }: RunningAttempt, cachedTokens: number): void {
    const life = this.#directory.findPool(state.spec.pool)?.cacheLife
    for (const { tokens, ageMs } of reused) life?.note(ageMs, cachedTokens >= tokens * FULL_SHARE)
  }

  #takeCacheEvents (event: Extract<PlacementEvent, { type: 'cacheEvents' }>, nowMs: number): void {
    const state = this.#directory.findRecord(event.endpoint)?.state
    if (state === undefined || state.incarnation !== event.incarnation || state.weightsVersion !== event.weightsVersion) return
    takeCacheEvents(event, state, this.#keys, nowMs)
  }

  #sweep (nowMs: number): void {
    if (nowMs - this.#sweptAtMs < SWEEP_MS) return
    this.#sweptAtMs = nowMs
    this.#attempts.dropExpired(nowMs)
    this.#peers.dropSilent(nowMs)
  }
}

function countTokens ({ tokens, decision }: Extract<PlacementEvent, { type: 'started' }>): number {
  const heldTokens = Math.max(decision?.kvImport?.tokens ?? 0, decision?.expectedCachedTokens ?? 0)
  return Math.max(0, tokens - heldTokens)
}
