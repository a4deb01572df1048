import type { SuspectMark, SuspectRegistry } from 'knapweedshunt-attempts'
import type { Logger } from 'knapweedshunt-logger'
import { createRpcClient } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { Placement } from 'knapweedshunt-placement'
import type { DataCentreId, Liveness, VmId, VmView } from 'knapweedshunt-types'
import { createIncarnation, runEvery } from 'knapweedshunt-utils'
import type { AdmissionGate } from './admissionGate.ts'
import { demandMessageSchema, marksMessageSchema, MAX_DEMANDS, MAX_HOT_KEYS } from './peerMessages.ts'
import type { DemandMessage } from './peerMessages.ts'
import { PeerMarks } from './peerMarks.ts'

/** Time between exchanges of demand, in milliseconds. */
const INTERVAL_MS = 2_000

/** Peers of this data centre, and of others, asked in one round; the rest follow in turn, so that traffic does not grow with the number of VMs. */
const PEERS_PER_ROUND = 2

/** Full rounds without a word after which a peer counts as silent. */
const SILENT_ROUNDS = 3
const CALL_TIMEOUT_MS = 1_000
const HEARD: Liveness[] = ['live', 'suspect']

interface Peer {
  view: VmView
  client: RpcClient
  marks: PeerMarks
  sending: boolean
}

/** What the exchange works on. */
export interface PeerExchangeOptions {
  vm: VmId
  dataCentre: DataCentreId
  peerKey: string
  placement: Placement
  gate: AdmissionGate
  registry: SuspectRegistry
  log: Logger
}

/** Tells peer routers of suspect requests at once, and exchanges demand with a few of them each round. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions
  readonly #peers = new Map<VmId, Peer>()
  readonly #stopping = new AbortController()
  readonly #rounds: Promise<void>
  readonly #incarnation = createIncarnation()
  #round = 0
  #sent = 0

  constructor (options: PeerExchangeOptions) {
    this.#options = options
    this.#rounds = runEvery(INTERVAL_MS, this.#stopping.signal, () => this.#runRound())
  }

  /** Time after which an unheard peer counts as silent, in milliseconds. */
  get silentMs (): number {
    const { near, far } = this.#listPeers()
    return SILENT_ROUNDS * INTERVAL_MS * Math.max(1, Math.ceil(Math.max(near.length, far.length) / PEERS_PER_ROUND))
  }

  /** Takes the VMs of a snapshot. A new incarnation hears all marks, since it starts with none. */
  takeVms (vms: VmView[]): void {
    const wanted = vms.filter(view => view.vm !== this.#options.vm && HEARD.includes(view.state))
    const names = new Set(wanted.map(view => view.vm))
    for (const [vm, peer] of this.#peers) if (!names.has(vm)) this.#drop(vm, peer)
    for (const view of wanted) this.#open(view)
  }

  /** Sends a mark to all peers; what does not reach one is sent again each round. */
  announce (mark: SuspectMark): void {
    for (const peer of this.#peers.values()) {
      peer.marks.add(mark, performance.now())
      this.#sendMarks(peer)
    }
  }

  /** Answers `router.marks`. Throws ZodError on wrong params. */
  answerMarks (params: unknown): object {
    for (const mark of marksMessageSchema.parse(params).marks) this.#options.registry.applyMark(mark)
    return {}
  }

  /** Answers `router.demand` with this VM's own. Throws ZodError on wrong params. */
  answerDemand (params: unknown): object {
    this.#takeDemand(demandMessageSchema.parse(params))
    return this.#buildDemand()
  }

  /** Stops the rounds and closes the connections. */
  async close (): Promise<void> {
    this.#stopping.abort()
    await this.#rounds
    for (const [vm, peer] of this.#peers) this.#drop(vm, peer)
  }

  async #runRound (): Promise<void> {
    const { near, far } = this.#listPeers()
    const chosen = [...chooseTurn(near, this.#round), ...chooseTurn(far, this.#round)]
    this.#round++
    await Promise.all(chosen.map(peer => this.#exchangeDemand(peer)))
    for (const peer of this.#peers.values()) this.#sendMarks(peer)
  }

  async #exchangeDemand (peer: Peer): Promise<void> {
    try {
      this.#takeDemand(demandMessageSchema.parse(await peer.client.call('router.demand', this.#buildDemand())))
    } catch (error) {
      this.#options.log.debug('Peer not reached.', { peer: peer.view.vm, reason: (error as Error).message })
    }
  }

  async #sendMarks (peer: Peer): Promise<void> {
    if (peer.sending || peer.marks.size === 0) return
    peer.sending = true
    const marks = peer.marks.takeAll(performance.now())
    try {
      await peer.client.call('router.marks', { vm: this.#options.vm, marks })
      peer.sending = false
      this.#sendMarks(peer)
    } catch (error) {
      peer.sending = false
      for (const mark of marks) peer.marks.add(mark, performance.now())
      this.#options.log.warn('Peer did not take marks.', { peer: peer.view.vm, reason: (error as Error).message })
    }
  }

  #takeDemand ({ vm, incarnation, dataCentre, n, demands, hotKeys }: DemandMessage): void {
    this.#options.gate.noteDemand(vm, demands)
    this.#options.placement.handleEvent({ type: 'peerDemand', vm, incarnation, dataCentre, n, demands: hotKeys })
  }

  #buildDemand (): DemandMessage {
    const { vm, dataCentre, gate, placement } = this.#options
    const hotKeys = placement.listHotKeys().slice(0, MAX_HOT_KEYS)
    return { vm, incarnation: this.#incarnation, dataCentre, n: this.#sent++, demands: gate.listDemands(MAX_DEMANDS), hotKeys }
  }

  #listPeers (): { near: Peer[], far: Peer[] } {
    const peers = [...this.#peers.values()]
    const isNear = (peer: Peer) => peer.view.dataCentre === this.#options.dataCentre
    return { near: peers.filter(isNear), far: peers.filter(peer => !isNear(peer)) }
  }

  #open (view: VmView): void {
    const known = this.#peers.get(view.vm)
    if (known?.view.incarnation === view.incarnation && known.view.routerUrl === view.routerUrl) return
    if (known !== undefined) this.#drop(view.vm, known)
    const client = createRpcClient({ url: view.routerUrl, sharedKey: this.#options.peerKey, timeoutMs: CALL_TIMEOUT_MS })
    const peer: Peer = { view, client, marks: new PeerMarks(), sending: false }
    this.#peers.set(view.vm, peer)
    for (const mark of this.#options.registry.listMarks()) peer.marks.add(mark, performance.now())
    this.#sendMarks(peer)
  }

  #drop (vm: VmId, peer: Peer): void {
    peer.client.close()
    this.#peers.delete(vm)
  }
}

/** Peers whose turn it is in a round. */
function chooseTurn (peers: Peer[], round: number): Peer[] {
  const first = round * PEERS_PER_ROUND % Math.max(1, peers.length)
  return [...peers.slice(first), ...peers.slice(0, first)].slice(0, PEERS_PER_ROUND)
}
