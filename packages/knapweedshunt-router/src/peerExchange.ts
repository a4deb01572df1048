import type { SuspectMark, SuspectRegistry } from 'knapweedshunt-attempts'
import type { Logger } from 'knapweedshunt-logger'
import { createRpcClient } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { Liveness, VmId, VmView } from 'knapweedshunt-types'
import { runEvery } from 'knapweedshunt-utils'
import type { AdmissionGate } from './admissionGate.ts'
import { demandMessageSchema, marksMessageSchema, MAX_DEMANDS } from './peerMessages.ts'
import { PeerMarks } from './peerMarks.ts'

/** Time between exchanges of demand, in milliseconds. */
const INTERVAL_MS = 2_000

/** Peers asked in one round; the rest follow in turn, so that traffic does not grow with the number of VMs. */
const PEERS_PER_ROUND = 3

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
  peerKey: string
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
  #turn = 0

  constructor (options: PeerExchangeOptions) {
    this.#options = options
    this.#rounds = runEvery(INTERVAL_MS, this.#stopping.signal, () => this.#runRound())
  }

  /** Time after which an unheard peer counts as silent, in milliseconds. */
  get silentMs (): number {
    return SILENT_ROUNDS * INTERVAL_MS * Math.max(1, Math.ceil(this.#peers.size / PEERS_PER_ROUND))
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
    for (const mark of marksMessageSchema.parse(params).marks) this.#options.registry.takeMark(mark)
    return {}
  }

  /** Answers `router.demand` with this VM's own. Throws ZodError on wrong params. */
  answerDemand (params: unknown): object {
    const { vm, demands } = demandMessageSchema.parse(params)
    this.#options.gate.noteDemand(vm, demands)
    return this.#buildDemand()
  }

  /** Stops the rounds and closes the connections. */
  async close (): Promise<void> {
    this.#stopping.abort()
    await this.#rounds
    for (const [vm, peer] of this.#peers) this.#drop(vm, peer)
  }

  async #runRound (): Promise<void> {
    const peers = [...this.#peers.values()]
    const first = this.#turn
    this.#turn = (first + PEERS_PER_ROUND) % Math.max(1, peers.length)
    const chosen = [...peers.slice(first), ...peers.slice(0, first)].slice(0, PEERS_PER_ROUND)
    await Promise.all(chosen.map(peer => this.#exchangeDemand(peer)))
    for (const peer of peers) this.#sendMarks(peer)
  }

  async #exchangeDemand (peer: Peer): Promise<void> {
    try {
      const { vm, demands } = demandMessageSchema.parse(await peer.client.call('router.demand', this.#buildDemand()))
      this.#options.gate.noteDemand(vm, demands)
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

  #buildDemand (): { vm: VmId, demands: ReturnType<AdmissionGate['listDemands']> } {
    return { vm: this.#options.vm, demands: this.#options.gate.listDemands(MAX_DEMANDS) }
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
