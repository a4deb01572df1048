import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_ORDER_OPTIONS } from 'knapweedshunt-orders'
import type { BookHandover, OrderDispatcher, OrderEvent, OrderOptions, OrderPeers, OrderReply, OrderTable } from 'knapweedshunt-orders'
import { createRng, sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { Fault, PlannedFault, Step } from './faults.ts'
import { OrderOracle } from './orderOracle.ts'
import { actAs } from './ownTimers.ts'
import { SimEndpoint } from './simEndpoint.ts'
import { SimRouter } from './simRouter.ts'

const ROUTERS = 3
const HOP_MS = 1
const DEADLINE_MS = 8_000

/** Bounds that let a run pass through every time-out in two minutes. */
export const FUZZ_BOUNDS: OrderOptions = { ...DEFAULT_ORDER_OPTIONS, lingerMs: 5_000, maxRunMs: 20_000, retentionMs: 300_000, tombstoneMs: 3_000_000, ticketMs: 200_000 }

/** An order as its caller holds it. */
export interface SimOrder {
  organisation: string
  /** Own key, or ticket text. */
  credential: { type: 'key', key: string } | { type: 'ticket', ticket: string }
  /** Name in the oracle. */
  name: string
}

/** Routers, endpoints, tables and the network of one run, all in this process under the paused clock. */
export class SimWorld {
  readonly memory = new MemoryPlatform()
  readonly oracle = new OrderOracle()
  readonly rng: Rng
  readonly endpoints: SimEndpoint[]
  readonly routers: SimRouter[] = []
  onElsewhere: (router: SimRouter) => void = () => {}
  onCallerGone: () => void = () => {}
  readonly #table: OrderTable
  readonly #plan: PlannedFault[]
  readonly #counts = new Map<Step, number>()
  readonly #cuts = new Set<string>()
  readonly struck: Fault[] = []
  #incarnations = 0

  constructor (seed: number, plan: PlannedFault[], table: OrderTable) {
    this.rng = createRng(seed)
    this.#plan = [...plan]
    this.#table = table
    const take = (step: Step, router: SimRouter) => this.takeStep(step, router)
    this.endpoints = [new SimEndpoint(false, this.oracle, take), new SimEndpoint(this.rng.int(2) === 0, this.oracle, take)]
    for (let i = 0; i < ROUTERS; i++) this.routers.push(this.#startRouter(`router-${i}`))
  }

  /** Counts the step and lets the planned faults strike. */
  takeStep (step: Step, router: SimRouter): void {
    const count = (this.#counts.get(step) ?? 0) + 1
    this.#counts.set(step, count)
    for (const planned of this.#plan) {
      if (planned.step !== step || planned.nth !== count) continue
      this.struck.push(planned.fault)
      actAs(null, () => this.#strike(planned.fault, router))
    }
  }

  /** A live router, not `other` if there is another one. */
  drawRouter (other?: SimRouter): SimRouter | null {
    const open = this.routers.filter(router => router.alive && !router.closing)
    const wished = open.filter(router => router.url !== other?.url)
    const from = wished.length > 0 ? wished : open
    return from.length === 0 ? null : from[this.rng.int(from.length)]
  }

  /** Places the order on the router; null when the connection broke. */
  async place (router: SimRouter, order: SimOrder): Promise<OrderReply | null> {
    this.takeStep('placed', router)
    const reply = await router.watch(this.#run(router, order, true))
    this.takeStep('caller-answered', router)
    if (reply !== null) this.oracle.takeReply(order.name, reply)
    return reply
  }

  /** Asks the router what became of the order; null when the connection broke. */
  async readStatus (router: SimRouter, order: SimOrder): Promise<OrderReply | null> {
    const { organisation, credential } = order
    const forward = (url: string) => this.#callPeer(router, url, peer => peer.act(service => service.readTicket(organisation, credential.type === 'ticket' ? credential.ticket : '')))
    const read = router.act(service => credential.type === 'key' ? service.readOwnKey(organisation, credential.key) : service.readTicket(organisation, credential.ticket, forward))
    const reply = await router.watch(read)
    if (reply !== null) this.oracle.takeReply(order.name, reply)
    return reply
  }

  /** Ends all faults and replaces what ended. */
  heal (): void {
    this.#plan.length = 0
    this.#cuts.clear()
    Object.assign(this.memory.faults, { down: false, delayMs: 0, loseAnswers: 0, applyLate: 0 })
    for (const endpoint of this.endpoints) endpoint.faults.length = 0
    for (const router of this.routers) {
      router.link.cut = false
      router.pausedUntilMs = 0
    }
  }

  #run (router: SimRouter, order: SimOrder, mayForward: boolean): Promise<OrderReply> {
    const { organisation, credential, name } = order
    router.orders.add(name)
    const common = { organisation, digest: name, deadlineAtMs: performance.now() + DEADLINE_MS, dispatcher: this.#createDispatcher(router, name) }
    if (credential.type === 'key') return router.act(service => service.runOwnKey({ ...common, idempotencyKey: credential.key }))
    const forward = (url: string) => {
      this.takeStep('forward-sent', router)
      return this.#callPeer(router, url, peer => this.#run(peer, order, false))
    }
    return router.act(service => service.runTicket({ ...common, ticket: credential.ticket, forward: mayForward ? forward : undefined }))
  }

  #createDispatcher (router: SimRouter, order: string): OrderDispatcher {
    let tried = 0
    const cancelled = new Set<string>()
    const send: OrderDispatcher['send'] = (attempt, again, take) => {
      actAs(null, () => sendOutside(attempt, again, event => router.act(() => take(event))))
    }
    const sendOutside = async (attempt: string, again: boolean, emit: (event: OrderEvent) => void) => {
      await router.waitAwake()
      if (cancelled.has(attempt)) return
      const endpoint = this.endpoints[again ? tried - 1 : tried++]
      if (endpoint === undefined) return emit({ type: 'unplaceable', attempt })
      emit({ type: 'placed', attempt, safeAgain: endpoint.checksKeys })
      await sleep(HOP_MS)
      if (router.isPaused()) this.oracle.touch(order)
      await router.waitAwake()
      if (endpoint.refuses()) return emit({ type: 'refused', attempt })
      endpoint.call({ order, attempt, router, emit })
    }
    return { send, cancel: attempt => cancelled.add(attempt) }
  }

  async #callPeer<T> (from: SimRouter, url: string, call: (peer: SimRouter) => Promise<T>): Promise<T> {
    await sleep(HOP_MS)
    const peer = this.routers.find(router => router.url === url)
    if (peer === undefined || !peer.alive || this.#isCut(from.url, url)) throw new Error('The peer is not reached.')
    const result = await peer.watch(call(peer))
    if (result === null || this.#isCut(from.url, url)) throw new Error('The peer is not reached.')
    return structuredClone(result)
  }

  #isCut (a: string, b: string): boolean {
    return this.#cuts.has([a, b].sort().join())
  }

  #startRouter (url: string): SimRouter {
    const bounds = { ...FUZZ_BOUNDS, seed: this.rng.int(1_000_000) }
    const incarnation = `incarnation-${this.#incarnations++}`
    const take = (step: Step, router: SimRouter) => this.takeStep(step, router)
    const router: SimRouter = new SimRouter({ url, incarnation, memory: this.memory, peers: this.#createPeers(url), bounds, table: this.#table, take })
    return router
  }

  #createPeers (url: string): OrderPeers {
    const tryPeers = async <T>(call: (peer: SimRouter) => Promise<T | null>): Promise<T | null> => {
      const self = this.routers.find(router => router.url === url) as SimRouter
      for (const peer of this.routers.filter(router => router.url !== url)) {
        const result = await this.#callPeer(self, peer.url, call).catch(() => null)
        if (result !== null) return result
      }
      return null
    }
    return {
      passBook: async (handover: BookHandover) => await tryPeers(async peer => {
        peer.act(service => service.takeBook(structuredClone(handover)))
        return true
      }) ?? false,
      findTicket: query => tryPeers(async peer => peer.act(service => service.answerTicket(query)))
    }
  }

  #replace (router: SimRouter): void {
    const i = this.routers.indexOf(router)
    if (i >= 0) this.routers[i] = this.#startRouter(router.url)
  }

  #strike (fault: Fault, router: SimRouter): void {
    const { faults } = this.memory
    const lastsMs = 500 + this.rng.int(15_000)
    switch (fault) {
      case 'store-slow':
        faults.delayMs = 100 + this.rng.int(3_000)
        setTimeout(() => { faults.delayMs = 0 }, lastsMs)
        return
      case 'store-down':
        faults.down = true
        setTimeout(() => { faults.down = false }, lastsMs)
        return
      case 'answer-lost':
        faults.loseAnswers += 1 + this.rng.int(4)
        return
      case 'applied-late':
        faults.lateMs = 100 + this.rng.int(15_000)
        faults.applyLate += 1 + this.rng.int(8)
        return
      case 'router-crash':
        this.#crash(router)
        setTimeout(() => this.#replace(router), 100 + this.rng.int(3_000))
        return
      case 'router-paused':
        router.pausedUntilMs = performance.now() + 100 + this.rng.int(40_000)
        return
      case 'shutdown':
        this.#shutDown(router)
        return
      case 'partition':
        for (const other of this.routers) this.#cuts.add([router.url, other.url].sort().join())
        setTimeout(() => this.#cuts.clear(), lastsMs)
        return
      case 'store-cut':
        router.link.cut = true
        setTimeout(() => { router.link.cut = false }, lastsMs)
        return
      case 'caller-elsewhere':
        return this.onElsewhere(router)
      case 'caller-gone':
        return this.onCallerGone()
      default:
        for (const endpoint of this.endpoints) endpoint.faults.push(fault)
    }
  }

  /** What a dead process knew is lost. */
  #crash (router: SimRouter): void {
    for (const order of router.orders) this.oracle.touch(order)
    router.crash()
  }

  #shutDown (router: SimRouter): void {
    if (router.closing) return
    router.closing = true
    router.act(service => service.close()).then(() => {
      router.crash()
      this.#replace(router)
    })
  }
}
