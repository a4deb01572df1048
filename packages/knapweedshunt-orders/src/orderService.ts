import { setMaxListeners } from 'node:events'
import { createIncarnation, createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { AbandonedClaim, BookHandover, TicketQuery } from './closedBook.ts'
import { BookKeeper } from './bookKeeper.ts'
import { callForward } from './callForward.ts'
import { readKeyDate } from './keyDate.ts'
import { OrderMachine } from './orderMachine.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderRequest } from './orderRequest.ts'
import { nameOwnKey, nameTicketKey } from './orderRequest.ts'
import { OrderRun } from './orderRun.ts'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import { convertOutcome } from './orderTable.ts'
import type { OrderPlace } from './orderEvent.ts'
import type { ForwardTicket, OrderPorts } from './orderPorts.ts'
import type { OwnKeyRun, TicketRun } from './runRequest.ts'
import { OUTCOME_CHARS } from './outcomeWriter.ts'
import { parseTicket } from './signTicket.ts'
import { StatusReader } from './statusReader.ts'
import { TableLedger } from './tableLedger.ts'
import type { MintedTicket, Ticket } from './ticket.ts'
import { namePinnedId, TicketBook } from './ticketBook.ts'
import { TicketMint } from './ticketMint.ts'

/** Orders of one router: runs them at most once, mints tickets, tells outcomes. */
export class OrderService {
  readonly #options: OrderServiceOptions
  readonly #rng: Rng
  readonly #tables: TableLedger
  readonly #book: TicketBook
  readonly #keeper: BookKeeper
  readonly #mint: TicketMint
  readonly #status: StatusReader
  readonly #abandoned = new Map<string, AbandonedClaim>()
  readonly #runs = new Set<OrderRun>()
  readonly #ending = new AbortController()
  #closing = false

  constructor (options: OrderServiceOptions) {
    this.#options = options
    this.#rng = createRng(options.bounds.seed)
    setMaxListeners(0, this.#ending.signal)
    this.#tables = new TableLedger(options.platform, options.incarnation, options.bounds, this.#rng, this.#ending.signal)
    this.#book = new TicketBook(options.incarnation, this.#tables, options.bounds.ticketMs)
    this.#keeper = new BookKeeper(options, this.#tables, this.#ending.signal)
    this.#mint = new TicketMint(options, this.#book)
    this.#status = new StatusReader(options, this.#tables, this.#book, this.#keeper)
  }

  /** Runs an order under the caller's own key, or tells what became of it. */
  async runOwnKey (run: OwnKeyRun): Promise<OrderReply> {
    const order = { organisation: run.organisation, key: nameOwnKey(run.idempotencyKey), digest: run.digest }
    const dateMs = readKeyDate(run.idempotencyKey)
    if (dateMs !== null && Date.now() - dateMs > this.#options.bounds.retentionMs) return { type: 'expired' }
    return this.#run(order, 'here', run.deadlineAtMs, { ledger: this.#tables, dispatcher: run.dispatcher, forward: async () => null })
  }

  /** Runs an order under a ticket, here or on its minter, or tells what became of it. */
  async runTicket (run: TicketRun): Promise<OrderReply> {
    const ticket = this.#readTicket(run.organisation, run.ticket)
    if (ticket === null) return { type: 'ticket-invalid' }
    if (Date.now() > ticket.expiresAtMs) return { type: 'expired' }
    const order = { organisation: run.organisation, key: nameTicketKey(ticket.id), digest: run.digest }
    if (ticket.type === 'durable') return this.#run(order, 'here', run.deadlineAtMs, { ledger: this.#tables, dispatcher: run.dispatcher, forward: async () => null })
    order.key = nameTicketKey(namePinnedId(ticket.minter, ticket.id))
    const place = ticket.minter === this.#options.incarnation ? 'here' : 'minter'
    const forward = () => this.#forward(ticket, order, run.forward)
    return this.#run(order, place, run.deadlineAtMs, { ledger: this.#book, dispatcher: run.dispatcher, forward })
  }

  /** Mints a ticket: durable while the tables answer, else pinned to this process. */
  async mintTicket (organisation: string): Promise<MintedTicket> {
    this.#book.dropExpired(Date.now())
    return this.#mint.mint(organisation)
  }

  /** Tells what became of the caller's own key. */
  readOwnKey (organisation: string, idempotencyKey: string): Promise<OrderReply> {
    return this.#status.readTables({ organisation, key: nameOwnKey(idempotencyKey) })
  }

  /** Tells what became of a ticket. */
  async readTicket (organisation: string, text: string, forward?: ForwardTicket): Promise<OrderReply> {
    const ticket = this.#readTicket(organisation, text)
    return ticket === null ? { type: 'ticket-invalid' } : this.#status.readTicket(ticket, forward)
  }

  /** Takes over the book of a closing peer. */
  takeBook (handover: BookHandover): void {
    this.#keeper.take(handover)
  }

  /** Answers a peer from a book that was handed to this process; null when none tells. */
  answerTicket (query: TicketQuery): OrderReply | null {
    return this.#keeper.answer(query)
  }

  /** Whether new orders are refused. */
  get closing (): boolean {
    return this.#closing
  }

  /** Orders and outcomes held in memory. */
  countHeld (): { running: number, unwritten: number } {
    return { running: this.#runs.size, unwritten: this.#tables.writer.size + this.#abandoned.size }
  }

  /** Takes no new order, waits for the running ones, and passes on what the tables don't have. */
  async close (): Promise<void> {
    this.#closing = true
    const runs = [...this.#runs]
    await Promise.all(runs.map(run => run.waitClosed()))
    const timer = setTimeout(() => this.#ending.abort(), this.#options.bounds.closeMs)
    await Promise.all(runs.map(run => run.waitSettled()))
    await this.#tables.writer.waitEmpty()
    await this.#keeper.close(this.#book, this.#tables.writer.list(), [...this.#abandoned.values()])
    clearTimeout(timer)
    this.#ending.abort()
  }

  async #run (order: OrderRequest, place: OrderPlace, deadlineAtMs: number, ports: OrderPorts): Promise<OrderReply> {
    const held = this.#tables.writer.find(order)
    if (held !== null) return held.order.digest === order.digest ? convertOutcome(held.outcome) : { type: 'mismatch' }
    if (this.#closing || (place === 'here' && this.#isFull())) return { type: 'unreadable' }
    const nonce = createIncarnation()
    const { bounds, table } = this.#options
    const machine = new OrderMachine(table, { nonce, digest: order.digest, maxAttempts: bounds.maxAttempts, maxResends: bounds.maxResends })
    const run = new OrderRun({
      order,
      nonce,
      place,
      deadlineAtMs,
      machine,
      ports,
      bounds,
      rng: this.#rng,
      signal: this.#ending.signal,
      noteAbandoned: written => written ? this.#abandoned.delete(nonce) : this.#abandoned.set(nonce, { order, nonce })
    })
    this.#runs.add(run)
    const reply = await run.start()
    run.waitSettled().finally(() => this.#runs.delete(run))
    return reply
  }

  /** Whether the tables owe so much that nothing more is begun: what came of it could not be kept. */
  #isFull (): boolean {
    const heldChars = this.#tables.writer.heldChars + this.#abandoned.size * OUTCOME_CHARS
    return heldChars >= this.#options.bounds.maxHeldChars
  }

  async #forward (ticket: Ticket, order: OrderRequest, forward: ForwardTicket | undefined): Promise<OrderReply | null> {
    const reply = await callForward(ticket, forward)
    return reply ?? this.#status.readClosed(ticket, order, order.digest)
  }

  #readTicket (organisation: string, text: string): Ticket | null {
    const ticket = parseTicket(text, this.#options.sharedKey)
    return ticket === null || ticket.organisation !== organisation ? null : ticket
  }
}
