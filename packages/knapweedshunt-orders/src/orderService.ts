import { setMaxListeners } from 'node:events'
import { createIncarnation, createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { AbandonedClaim, LedgerHandover, TicketQuery } from './closedLedger.ts'
import { HandoverManager } from './handoverManager.ts'
import { tryForward } from './tryForward.ts'
import { parseKeyDate } from './parseKeyDate.ts'
import { OrderStateMachine } from './orderStateMachine.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderRequest } from './orderRequest.ts'
import { buildOwnKey, buildTicketKey } from './orderRequest.ts'
import { OrderRun } from './orderRun.ts'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import { convertOutcome } from './orderTransitionTable.ts'
import type { ExecutionSite } from './orderEvent.ts'
import type { ForwardTicket, OrderPorts } from './orderPorts.ts'
import type { OwnKeyRequest, TicketRequest } from './runRequest.ts'
import { OUTCOME_OVERHEAD_CHARS } from './outcomeWriter.ts'
import { parseTicket } from './signTicket.ts'
import { StatusReader } from './statusReader.ts'
import { TableLedger } from './tableLedger.ts'
import type { MintedTicket, Ticket } from './ticket.ts'
import { buildPinnedTicketId, PinnedTicketLedger } from './pinnedTicketLedger.ts'
import { TicketMinter } from './ticketMinter.ts'

/** Order service of one router: executes orders at most once, mints order tickets and reports outcomes. */
export class OrderService {
  readonly #options: OrderServiceOptions
  readonly #rng: Rng
  readonly #tables: TableLedger
  readonly #pinnedLedger: PinnedTicketLedger
  readonly #handovers: HandoverManager
  readonly #ticketMinter: TicketMinter
  readonly #status: StatusReader
  readonly #abandoned = new Map<string, AbandonedClaim>()
  readonly #runs = new Set<OrderRun>()
  readonly #shutdown = new AbortController()
  #isClosing = false

  constructor (options: OrderServiceOptions) {
    this.#options = options
    this.#rng = createRng(options.bounds.seed)
    setMaxListeners(0, this.#shutdown.signal)
    this.#tables = new TableLedger(options.platform, options.incarnation, options.bounds, this.#rng, this.#shutdown.signal)
    this.#pinnedLedger = new PinnedTicketLedger(options.incarnation, this.#tables, options.bounds.ticketLifetimeMs)
    this.#handovers = new HandoverManager(options, this.#tables, this.#shutdown.signal)
    this.#ticketMinter = new TicketMinter(options, this.#pinnedLedger)
    this.#status = new StatusReader(options, this.#tables, this.#pinnedLedger, this.#handovers)
  }

  /** Runs an order under the caller's own idempotency key, or returns the result of an earlier run. Resolves to `expired` when the date in the key is older than the retention period. */
  async runOwnKey (run: OwnKeyRequest): Promise<OrderReply> {
    const order = { organisation: run.organisation, key: buildOwnKey(run.idempotencyKey), digest: run.digest }
    const dateMs = parseKeyDate(run.idempotencyKey)
    if (dateMs !== null && Date.now() - dateMs > this.#options.bounds.retentionMs) return { type: 'expired' }
    return this.#startRun(order, 'here', run.deadlineAtMs, { ledger: this.#tables, dispatcher: run.dispatcher, forward: async () => null })
  }

  /** Runs an order under a ticket, or returns the result of an earlier run. A pinned ticket of another router is forwarded to its minter. */
  async runTicket (run: TicketRequest): Promise<OrderReply> {
    const ticket = this.#verifyTicket(run.organisation, run.ticket)
    if (ticket === null) return { type: 'ticket-invalid' }
    if (Date.now() > ticket.expiresAtMs) return { type: 'expired' }
    const order = { organisation: run.organisation, key: buildTicketKey(ticket.id), digest: run.digest }
    if (ticket.type === 'durable') return this.#startRun(order, 'here', run.deadlineAtMs, { ledger: this.#tables, dispatcher: run.dispatcher, forward: async () => null })
    order.key = buildTicketKey(buildPinnedTicketId(ticket.minter, ticket.id))
    const site = ticket.minter === this.#options.incarnation ? 'here' : 'minter'
    const forward = () => this.#forwardToMinter(ticket, order, run.forward)
    return this.#startRun(order, site, run.deadlineAtMs, { ledger: this.#pinnedLedger, dispatcher: run.dispatcher, forward })
  }

  /** Mints a ticket: durable while the tables are available, otherwise pinned to this process. */
  async mintTicket (organisation: string): Promise<MintedTicket> {
    this.#pinnedLedger.dropExpired(Date.now())
    return this.#ticketMinter.mint(organisation)
  }

  /** Returns the status of the order under the caller's own idempotency key. */
  readOwnKey (organisation: string, idempotencyKey: string): Promise<OrderReply> {
    return this.#status.readTableOrder({ organisation, key: buildOwnKey(idempotencyKey) })
  }

  /** Returns the status of the order under a ticket. Without `forward`, the minter is not asked. */
  async readTicket (organisation: string, text: string, forward?: ForwardTicket): Promise<OrderReply> {
    const ticket = this.#verifyTicket(organisation, text)
    return ticket === null ? { type: 'ticket-invalid' } : this.#status.readTicket(ticket, forward)
  }

  /** Accepts the pinned-ticket ledger and the unwritten results of a peer that is shutting down. */
  acceptHandover (handover: LedgerHandover): void {
    this.#handovers.accept(handover)
  }

  /** Answers a peer's query from the accepted handovers; null when none of them covers the ticket. */
  answerTicketQuery (query: TicketQuery): OrderReply | null {
    return this.#handovers.answer(query)
  }

  /** Whether the service is shutting down and refuses new orders. */
  get isClosing (): boolean {
    return this.#isClosing
  }

  /** Counts of running orders, and of outcomes and abandoned claims that are not written yet. */
  countPending (): { running: number, unwritten: number } {
    return { running: this.#runs.size, unwritten: this.#tables.writer.size + this.#abandoned.size }
  }

  /** Refuses new orders, waits for the running ones, and hands over to a peer what could not be written within the shutdown timeout. */
  async close (): Promise<void> {
    this.#isClosing = true
    const runs = [...this.#runs]
    await Promise.all(runs.map(run => run.waitClosed()))
    const timer = setTimeout(() => this.#shutdown.abort(), this.#options.bounds.shutdownTimeoutMs)
    await Promise.all(runs.map(run => run.waitSettled()))
    await this.#tables.writer.waitEmpty()
    await this.#handovers.close(this.#pinnedLedger, this.#tables.writer.list(), [...this.#abandoned.values()])
    clearTimeout(timer)
    this.#shutdown.abort()
  }

  async #startRun (order: OrderRequest, site: ExecutionSite, deadlineAtMs: number, ports: OrderPorts): Promise<OrderReply> {
    const unwritten = this.#tables.writer.find(order)
    if (unwritten !== null) return unwritten.order.digest === order.digest ? convertOutcome(unwritten.outcome) : { type: 'mismatch' }
    if (this.#isClosing || (site === 'here' && this.#isBacklogFull())) return { type: 'unreadable' }
    const nonce = createIncarnation()
    const { bounds, table } = this.#options
    const machine = new OrderStateMachine(table, { nonce, digest: order.digest, maxAttempts: bounds.maxAttempts, maxResends: bounds.maxResends })
    const run = new OrderRun({
      order,
      nonce,
      site,
      deadlineAtMs,
      machine,
      ports,
      bounds,
      rng: this.#rng,
      signal: this.#shutdown.signal,
      recordAbandoned: written => written ? this.#abandoned.delete(nonce) : this.#abandoned.set(nonce, { order, nonce })
    })
    this.#runs.add(run)
    const reply = await run.start()
    run.waitSettled().finally(() => this.#runs.delete(run))
    return reply
  }

  /** Whether the unwritten backlog has reached its limit. New orders are then refused, because their outcomes could not be kept in memory. */
  #isBacklogFull (): boolean {
    const pendingChars = this.#tables.writer.unwrittenChars + this.#abandoned.size * OUTCOME_OVERHEAD_CHARS
    return pendingChars >= this.#options.bounds.maxUnwrittenChars
  }

  async #forwardToMinter (ticket: Ticket, order: OrderRequest, forward: ForwardTicket | undefined): Promise<OrderReply | null> {
    const reply = await tryForward(ticket, forward)
    return reply ?? this.#status.readTicketOfClosedMinter(ticket, order, order.digest)
  }

  #verifyTicket (organisation: string, text: string): Ticket | null {
    const ticket = parseTicket(text, this.#options.sharedKey)
    return ticket === null || ticket.organisation !== organisation ? null : ticket
  }
}
