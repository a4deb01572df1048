import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_ORDER_OPTIONS } from 'knapweedshunt-orders'
import type { LedgerHandover, OrderDispatcher, OrderEvent, OrderOptions, OrderPeers, OrderReply, OrderTransitionTable } from 'knapweedshunt-orders'
import { createRng, sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { Fault, PlannedFault, Step } from './faults.ts'
import { OrderOracle } from './orderOracle.ts'
import { runAsProcess } from './processTimers.ts'
import { SimEndpoint } from './simEndpoint.ts'
import { SimRouter } from './simRouter.ts'

const ROUTERS = 3
const HOP_MS = 1
const DEADLINE_MS = 8_000

/** Limits under which a run can reach every timeout within two minutes. */
export const FUZZ_BOUNDS: OrderOptions = { ...DEFAULT_ORDER_OPTIONS, lateAnswerTimeoutMs: 5_000, maxRunMs: 20_000, retentionMs: 300_000, tombstoneRetentionMs: 3_000_000, ticketLifetimeMs: 200_000 }

/** An order with the credential that its caller uses. */
export interface SimOrder {
  organisation: string
  /** The caller's own idempotency key, or a signed ticket. */
  credential: { type: 'key', key: string } | { type: 'ticket', ticket: string }
  /** Name under which the oracle tracks the order; also its digest. */
  name: string
}

/** Routers, endpoints, tables and network of one run, simulated in this process with fake timers. */
export class SimWorld {
  readonly memory = new MemoryPlatform()
  readonly oracle = new OrderOracle()
  readonly rng: Rng
  readonly endpoints: SimEndpoint[]
  readonly routers: SimRouter[] = []
  onCallerElsewhere: (router: SimRouter) => void = () => {}
  onCallerGone: () => void = () => {}
  readonly #table: OrderTransitionTable
  readonly #plan: PlannedFault[]
  readonly #counts = new Map<Step, number>()
  readonly #cuts = new Set<string>()
  readonly struck: Fault[] = []
  #incarnations = 0

  constructor (seed: number, plan: PlannedFault[], table: OrderTransitionTable) {
    this.rng = createRng(seed)
    this.#plan = [...plan]
    this.#table = table
    const recordStep = (step: Step, router: SimRouter) => this.recordStep(step, router)
    this.endpoints = [new SimEndpoint(false, this.oracle, recordStep), new SimEndpoint(this.rng.drawInt(2) === 0, this.oracle, recordStep)]
    for (let i = 0; i < ROUTERS; i++) this.routers.push(this.#startRouter(`router-${i}`))
  }

  /** Counts the step and injects the faults planned for it. */
  recordStep (step: Step, router: SimRouter): void {
    const count = (this.#counts.get(step) ?? 0) + 1
    this.#counts.set(step, count)
    for (const planned of this.#plan) {
      if (planned.step !== step || planned.nth !== count) continue
      this.struck.push(planned.fault)
      runAsProcess(null, () => this.#injectFault(planned.fault, router))
    }
  }

  /** Picks a random live router, other than `other` if possible; null when there is none. */
  pickRouter (other?: SimRouter): SimRouter | null {
    const candidates = this.routers.filter(router => router.isAlive && !router.isClosing)
    const preferred = candidates.filter(router => router.url !== other?.url)
    const pool = preferred.length > 0 ? preferred : candidates
    return pool.length === 0 ? null : pool[this.rng.drawInt(pool.length)]
  }

  /** Places the order on the router. Resolves to null when the connection broke. */
  async place (router: SimRouter, order: SimOrder): Promise<OrderReply | null> {
    this.recordStep('placed', router)
    const reply = await router.watch(this.#runOrder(router, order, true))
    this.recordStep('caller-answered', router)
    if (reply !== null) this.oracle.checkReply(order.name, reply)
    return reply
  }

  /** Reads the status of the order from the router. Resolves to null when the connection broke. */
  async readStatus (router: SimRouter, order: SimOrder): Promise<OrderReply | null> {
    const { organisation, credential } = order
    const forward = (url: string) => this.#callPeer(router, url, peer => peer.runInProcess(service => service.readTicket(organisation, credential.type === 'ticket' ? credential.ticket : '')))
    const read = router.runInProcess(service => credential.type === 'key' ? service.readOwnKey(organisation, credential.key) : service.readTicket(organisation, credential.ticket, forward))
    const reply = await router.watch(read)
    if (reply !== null) this.oracle.checkReply(order.name, reply)
    return reply
  }

  /** Ends all faults. Crashed routers are replaced by the timers that their faults started. */
  endAllFaults (): void {
    this.#plan.length = 0
    this.#cuts.clear()
    Object.assign(this.memory.faults, { down: false, delayMs: 0, loseAnswers: 0, applyLate: 0 })
    for (const endpoint of this.endpoints) endpoint.faults.length = 0
    for (const router of this.routers) {
      router.link.cut = false
      router.pausedUntilMs = 0
    }
  }

  #runOrder (router: SimRouter, order: SimOrder, mayForward: boolean): Promise<OrderReply> {
    const { organisation, credential, name } = order
    router.orders.add(name)
    const common = { organisation, digest: name, deadlineAtMs: performance.now() + DEADLINE_MS, dispatcher: this.#createDispatcher(router, name) }
    if (credential.type === 'key') return router.runInProcess(service => service.runOwnKey({ ...common, idempotencyKey: credential.key }))
    const forward = (url: string) => {
      this.recordStep('forward-sent', router)
      return this.#callPeer(router, url, peer => this.#runOrder(peer, order, false))
    }
    return router.runInProcess(service => service.runTicket({ ...common, ticket: credential.ticket, forward: mayForward ? forward : undefined }))
  }

  #createDispatcher (router: SimRouter, order: string): OrderDispatcher {
    let triedCount = 0
    const cancelled = new Set<string>()
    const send: OrderDispatcher['send'] = (attempt, isResend, emit) => {
      runAsProcess(null, () => sendFromNetwork(attempt, isResend, event => router.runInProcess(() => emit(event))))
    }
    const sendFromNetwork = async (attempt: string, isResend: boolean, emit: (event: OrderEvent) => void) => {
      await router.waitResumed()
      if (cancelled.has(attempt)) return
      const endpoint = this.endpoints[isResend ? triedCount - 1 : triedCount++]
      if (endpoint === undefined) return emit({ type: 'unplaceable', attempt })
      emit({ type: 'placed', attempt, canResend: endpoint.checksIdempotencyKeys })
      await sleep(HOP_MS)
      if (router.isPaused()) this.oracle.markMayHaveRun(order)
      await router.waitResumed()
      if (endpoint.consumeRefusal()) return emit({ type: 'refused', attempt })
      endpoint.call({ order, attempt, router, emit })
    }
    return { send, cancel: attempt => cancelled.add(attempt) }
  }

  async #callPeer<T> (from: SimRouter, url: string, call: (peer: SimRouter) => Promise<T>): Promise<T> {
    await sleep(HOP_MS)
    const peer = this.routers.find(router => router.url === url)
    if (peer === undefined || !peer.isAlive || this.#isCut(from.url, url)) throw new Error('The peer is unreachable.')
    const result = await peer.watch(call(peer))
    if (result === null || this.#isCut(from.url, url)) throw new Error('The peer is unreachable.')
    return structuredClone(result)
  }

  #isCut (a: string, b: string): boolean {
    return this.#cuts.has([a, b].sort().join())
  }

  #startRouter (url: string): SimRouter {
    const bounds = { ...FUZZ_BOUNDS, seed: this.rng.drawInt(1_000_000) }
    const incarnation = `incarnation-${this.#incarnations++}`
    const recordStep = (step: Step, router: SimRouter) => this.recordStep(step, router)
    const router: SimRouter = new SimRouter({ url, incarnation, memory: this.memory, peers: this.#createPeers(url), bounds, table: this.#table, recordStep })
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
      sendHandover: async (handover: LedgerHandover) => await tryPeers(async peer => {
        peer.runInProcess(service => service.acceptHandover(structuredClone(handover)))
        return true
      }) ?? false,
      findTicket: query => tryPeers(async peer => peer.runInProcess(service => service.answerTicketQuery(query)))
    }
  }

  #replaceRouter (router: SimRouter): void {
    const i = this.routers.indexOf(router)
    if (i >= 0) this.routers[i] = this.#startRouter(router.url)
  }

  #injectFault (fault: Fault, router: SimRouter): void {
    const { faults } = this.memory
    const durationMs = 500 + this.rng.drawInt(15_000)
    switch (fault) {
      case 'store-slow':
        faults.delayMs = 100 + this.rng.drawInt(3_000)
        setTimeout(() => { faults.delayMs = 0 }, durationMs)
        return
      case 'store-down':
        faults.down = true
        setTimeout(() => { faults.down = false }, durationMs)
        return
      case 'answer-lost':
        faults.loseAnswers += 1 + this.rng.drawInt(4)
        return
      case 'applied-late':
        faults.lateMs = 100 + this.rng.drawInt(15_000)
        faults.applyLate += 1 + this.rng.drawInt(8)
        return
      case 'router-crash':
        this.#crashRouter(router)
        setTimeout(() => this.#replaceRouter(router), 100 + this.rng.drawInt(3_000))
        return
      case 'router-paused':
        router.pausedUntilMs = performance.now() + 100 + this.rng.drawInt(40_000)
        return
      case 'shutdown':
        this.#shutDownRouter(router)
        return
      case 'partition':
        for (const other of this.routers) this.#cuts.add([router.url, other.url].sort().join())
        setTimeout(() => this.#cuts.clear(), durationMs)
        return
      case 'store-cut':
        router.link.cut = true
        setTimeout(() => { router.link.cut = false }, durationMs)
        return
      case 'caller-elsewhere':
        return this.onCallerElsewhere(router)
      case 'caller-gone':
        return this.onCallerGone()
      default:
        for (const endpoint of this.endpoints) endpoint.faults.push(fault)
    }
  }

  /** Crashes the router. Its state is lost, so its orders may end as `may-have-run`. */
  #crashRouter (router: SimRouter): void {
    for (const order of router.orders) this.oracle.markMayHaveRun(order)
    router.crash()
  }

  #shutDownRouter (router: SimRouter): void {
    if (router.isClosing) return
    router.isClosing = true
    router.runInProcess(service => service.close()).then(() => {
      router.crash()
      this.#replaceRouter(router)
    })
  }
}
