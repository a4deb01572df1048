import type { EndpointLimitReport } from 'knapweedshunt-admission'
import type { SuspectMark } from 'knapweedshunt-attempts'
import { createRpcClient } from 'knapweedshunt-rpc'
import type { Liveness, PoolName, VmId, VmView } from 'knapweedshunt-types'
import { BodyMemory, runEvery } from 'knapweedshunt-utils'
import type { Peer } from './peer.ts'
import type { PeerExchangeOptions } from './peerExchangeOptions.ts'
import { demandMessageSchema, limitsMessageSchema, marksMessageSchema, MAX_DEMANDS, MAX_HOT_KEYS, partsMessageSchema, versionsQuerySchema, versionsResultSchema } from './peerMessages.ts'
import type { DemandMessage } from './peerMessages.ts'
import type { RelayTarget } from './relays/relayTarget.ts'
import { UnacknowledgedMarks } from './unacknowledgedMarks.ts'

/** Interval between demand exchanges, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 2_000

/** Number of peers contacted per round, in this data centre and in other ones each. Peers take turns, so that traffic does not grow with the number of VMs. */
const PEERS_PER_ROUND = 2

/** Number of full rotations through the peers after which one that sent no message counts as timed out. */
const PEER_TIMEOUT_ROUNDS = 3

/** Number of peers that are asked for software versions, in this data centre and in other ones each. */
const PEERS_PER_QUESTION = 4

const CALL_TIMEOUT_MS = 1_000

/** Memory for the answers of peers until they are parsed. Sound ones have at most 64 texts of 255 characters, and always have room. */
const RESPONSE_MEMORY = { maxBytes: 1024 * 1024, uncountedBytes: 64 * 1024 }

const REACHABLE_STATES: Liveness[] = ['live', 'suspect']

/** Sends marks of suspect requests, evidence about crashing parts of prompts and reports about rate limits of endpoints to all peer routers immediately, and exchanges demand with a few peers each round. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions
  readonly #peers = new Map<VmId, Peer>()
  readonly #responseMemory = new BodyMemory(RESPONSE_MEMORY)
  readonly #stopping = new AbortController()
  readonly #rounds: Promise<void>
  #limitReport: EndpointLimitReport | null = null
  #round = 0
  #demandSequence = 0

  constructor (options: PeerExchangeOptions) {
    this.#options = options
    this.#rounds = runEvery(EXCHANGE_INTERVAL_MS, this.#stopping.signal, () => this.#runRound())
  }

  /** Time without a message after which a peer counts as timed out, in milliseconds. */
  get peerTimeoutMs (): number {
    const { local, remote } = this.#listPeers()
    return PEER_TIMEOUT_ROUNDS * EXCHANGE_INTERVAL_MS * Math.max(1, Math.ceil(Math.max(local.length, remote.length) / PEERS_PER_ROUND))
  }

  /** Applies the VMs of a snapshot. A new incarnation is sent all marks, since it starts with none. */
  applyVms (vms: VmView[]): void {
    const reachableVms = vms.filter(view => view.vm !== this.#options.vm && REACHABLE_STATES.includes(view.state))
    const names = new Set(reachableVms.map(view => view.vm))
    for (const [vm, peer] of this.#peers) if (!names.has(vm)) this.#removePeer(vm, peer)
    for (const view of reachableVms) this.#openPeer(view)
  }

  /** Sends a mark to all peers; marks that a peer has not acknowledged are sent again each round. */
  broadcastMark (mark: SuspectMark): void {
    for (const peer of this.#peers.values()) {
      peer.unacknowledgedMarks.add(mark, performance.now())
      this.#sendMarks(peer)
    }
  }

  /** Sends the part detector's evidence to all peers; one that does not acknowledge it is sent the latest again each round. */
  broadcastParts (): void {
    for (const peer of this.#peers.values()) {
      peer.needsParts = true
      this.#sendParts(peer)
    }
  }

  /** Sends the report about rate limits of endpoints to all peers; one that does not acknowledge it is sent the latest again each round. */
  broadcastLimits (report: EndpointLimitReport): void {
    this.#limitReport = report
    for (const peer of this.#peers.values()) {
      peer.needsLimits = true
      this.#sendLimits(peer)
    }
  }

  /** Handles `router.limits`. Throws ZodError on invalid params. */
  handleLimits (params: unknown): object {
    const { vm, incarnation, report } = limitsMessageSchema.parse(params)
    this.#options.endpointLimiter.applyReport(vm, incarnation, report)
    return {}
  }

  /** Handles `router.parts`. Throws ZodError on invalid params. */
  handleParts (params: unknown): object {
    this.#options.partDetector.applyEvidence(partsMessageSchema.parse(params).evidence, 0)
    return {}
  }

  /** Handles `router.marks`. Throws ZodError on invalid params. */
  handleMarks (params: unknown): object {
    for (const mark of marksMessageSchema.parse(params).marks) this.#options.registry.applyMark(mark)
    return {}
  }

  /** Handles `router.demand` and returns the demand of this VM. Throws ZodError on invalid params. */
  handleDemand (params: unknown): object {
    this.#applyDemand(demandMessageSchema.parse(params))
    return this.#buildDemand()
  }

  /** Handles `router.versions`. Throws ZodError on invalid params. */
  handleVersions (params: unknown): object {
    return { versions: this.#options.softwareVersions.listVersions(versionsQuerySchema.parse(params).pool) }
  }

  /** Asks some peers which software versions may have begun streams of a pool. Peers that do not answer are left out. */
  async askVersions (pool: PoolName): Promise<string[]> {
    const { local, remote } = this.#listPeers()
    const answers = await Promise.all([...local.slice(0, PEERS_PER_QUESTION), ...remote.slice(0, PEERS_PER_QUESTION)].map(peer => this.#askVersions(peer, pool)))
    return answers.flat()
  }

  /** Lists the routers that may serve requests of this one. */
  listRelayTargets (): RelayTarget[] {
    return [...this.#peers.values()].filter(({ view }) => view.state === 'live').map(({ view: { vm, dataCentre, routerUrl } }) => ({ vm, dataCentre, url: routerUrl }))
  }

  /** Asks a peer how many endpoints it reaches. Throws RpcError. */
  async askReach (vm: VmId): Promise<unknown> {
    return await this.#peers.get(vm)?.client.call('router.reach', {})
  }

  /** Stops the rounds and closes the connections to peers. */
  async close (): Promise<void> {
    this.#stopping.abort()
    await this.#rounds
    for (const [vm, peer] of this.#peers) this.#removePeer(vm, peer)
  }

  async #runRound (): Promise<void> {
    const { local, remote } = this.#listPeers()
    const selectedPeers = [...selectPeers(local, this.#round), ...selectPeers(remote, this.#round)]
    this.#round++
    await Promise.all(selectedPeers.map(peer => this.#exchangeDemand(peer)))
    this.#options.endpointLimiter.broadcastIfNeeded()
    for (const peer of this.#peers.values()) {
      this.#sendMarks(peer)
      this.#sendParts(peer)
      this.#sendLimits(peer)
    }
  }

  async #exchangeDemand (peer: Peer): Promise<void> {
    try {
      this.#applyDemand(demandMessageSchema.parse(await peer.client.call('router.demand', this.#buildDemand())))
    } catch (error) {
      this.#options.log.debug('Demand exchange with peer failed.', { peer: peer.view.vm, reason: (error as Error).message })
    }
  }

  async #sendMarks (peer: Peer): Promise<void> {
    if (peer.isSending || peer.unacknowledgedMarks.size === 0) return
    peer.isSending = true
    const drainedAtMs = performance.now()
    const marks = peer.unacknowledgedMarks.drain(drainedAtMs)
    try {
      await peer.client.call('router.marks', { vm: this.#options.vm, marks })
      peer.isSending = false
      this.#sendMarks(peer)
    } catch (error) {
      peer.isSending = false
      peer.unacknowledgedMarks.restore(marks, drainedAtMs, performance.now())
      this.#options.log.warn('Sending marks to peer failed; retrying next round.', { peer: peer.view.vm, reason: (error as Error).message })
    }
  }

  async #sendParts (peer: Peer): Promise<void> {
    if (!peer.needsParts) return
    peer.needsParts = false
    try {
      await peer.client.call('router.parts', { vm: this.#options.vm, evidence: this.#options.partDetector.buildEvidence() })
    } catch (error) {
      peer.needsParts = true
      this.#options.log.warn('Sending evidence about prompt parts to peer failed; retrying next round.', { peer: peer.view.vm, reason: (error as Error).message })
    }
  }

  async #sendLimits (peer: Peer): Promise<void> {
    if (!peer.needsLimits || this.#limitReport === null) return
    peer.needsLimits = false
    const { vm, incarnation, log } = this.#options
    try {
      await peer.client.call('router.limits', { vm, incarnation, report: this.#limitReport })
    } catch (error) {
      peer.needsLimits = true
      log.warn('Sending rate limits of endpoints to peer failed; retrying next round.', { peer: peer.view.vm, reason: (error as Error).message })
    }
  }

  async #askVersions (peer: Peer, pool: PoolName): Promise<string[]> {
    try {
      return versionsResultSchema.parse(await peer.client.call('router.versions', { pool })).versions
    } catch (error) {
      this.#options.log.debug('Asking a peer for software versions failed.', { peer: peer.view.vm, reason: (error as Error).message })
      return []
    }
  }

  #applyDemand ({ vm, incarnation, dataCentre, n, demands, hotKeys }: DemandMessage): void {
    this.#options.admission.applyPeerDemand(vm, demands)
    this.#options.placement.handleEvent({ type: 'peerDemand', vm, incarnation, dataCentre, n, demands: hotKeys })
  }

  #buildDemand (): DemandMessage {
    const { vm, incarnation, dataCentre, admission, placement } = this.#options
    const hotKeys = placement.listHotKeys().slice(0, MAX_HOT_KEYS)
    return { vm, incarnation, dataCentre, n: this.#demandSequence++, demands: admission.listDemands(MAX_DEMANDS), hotKeys }
  }

  #listPeers (): { local: Peer[], remote: Peer[] } {
    const peers = [...this.#peers.values()]
    const isLocal = (peer: Peer) => peer.view.dataCentre === this.#options.dataCentre
    return { local: peers.filter(isLocal), remote: peers.filter(peer => !isLocal(peer)) }
  }

  #openPeer (view: VmView): void {
    const existing = this.#peers.get(view.vm)
    if (existing?.view.incarnation === view.incarnation && existing.view.routerUrl === view.routerUrl) return
    if (existing !== undefined) this.#removePeer(view.vm, existing)
    const client = createRpcClient({ url: view.routerUrl, sharedKey: this.#options.peerKey, timeoutMs: CALL_TIMEOUT_MS, memory: this.#responseMemory })
    const peer: Peer = { view, client, unacknowledgedMarks: new UnacknowledgedMarks(), isSending: false, needsParts: true, needsLimits: true }
    this.#peers.set(view.vm, peer)
    for (const mark of this.#options.registry.listMarks()) peer.unacknowledgedMarks.add(mark, performance.now())
    this.#sendMarks(peer)
    this.#sendParts(peer)
    this.#sendLimits(peer)
  }

  #removePeer (vm: VmId, peer: Peer): void {
    peer.client.close()
    this.#peers.delete(vm)
  }
}

/** Selects the peers to contact in a round, in rotation. */
function selectPeers (peers: Peer[], round: number): Peer[] {
  const first = round * PEERS_PER_ROUND % Math.max(1, peers.length)
  return [...peers.slice(first), ...peers.slice(0, first)].slice(0, PEERS_PER_ROUND)
}
