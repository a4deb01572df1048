import { Backoff } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { OrderAction } from './orderAction.ts'
import type { OrderEvent, OrderPlace } from './orderEvent.ts'
import type { OrderMachine } from './orderMachine.ts'
import type { OrderOptions } from './orderOptions.ts'
import type { OrderPorts } from './orderPorts.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderRequest } from './orderRequest.ts'

/** One run of an order. */
export interface OrderRunOptions {
  order: OrderRequest
  nonce: string
  place: OrderPlace
  /** By the monotonic clock, milliseconds. */
  deadlineAtMs: number
  machine: OrderMachine
  ports: OrderPorts
  bounds: OrderOptions
  rng: Rng
  /** Ends background writes. */
  signal: AbortSignal
  /** Hears that the claim is given up, and again when its tombstone is written. */
  noteAbandoned (written: boolean): void
}

/** Drives one {@link OrderMachine}: actions into calls, what comes back into events. */
export class OrderRun {
  readonly #options: OrderRunOptions
  readonly #backoff: Backoff
  readonly #deadlineWallMs: number
  readonly #timers: Array<ReturnType<typeof setTimeout>> = []
  readonly #background = new Set<Promise<void>>()
  readonly #closed: Promise<void>
  #resolveReply: (reply: OrderReply) => void = () => {}
  #resolveClosed: () => void = () => {}

  constructor (options: OrderRunOptions) {
    this.#options = options
    this.#backoff = new Backoff(options.bounds.backoff, options.rng)
    this.#deadlineWallMs = Date.now() + options.deadlineAtMs - performance.now()
    this.#closed = new Promise(resolve => { this.#resolveClosed = resolve })
  }

  /** Starts the run. Resolves to what the caller is told; work in the background may go on. */
  start (): Promise<OrderReply> {
    const reply = new Promise<OrderReply>(resolve => { this.#resolveReply = resolve })
    const { bounds, deadlineAtMs, place } = this.#options
    this.#addTimer(bounds.patienceMs, { type: 'patience' })
    this.#addTimer(Math.max(0, deadlineAtMs - performance.now()), { type: 'deadline' })
    this.#take({ type: 'started', place })
    return reply
  }

  /** Resolves when nothing more is decided; writes may go on. */
  waitClosed (): Promise<void> {
    return this.#closed
  }

  /** Resolves when the run is closed and its writes are done. */
  async waitSettled (): Promise<void> {
    await this.#closed
    while (this.#background.size > 0) await Promise.all(this.#background)
  }

  #take (event: OrderEvent): void {
    for (const action of this.#options.machine.take(event)) this.#perform(action)
    if (this.#options.machine.state.type !== 'closed') return
    for (const timer of this.#timers) clearTimeout(timer)
    this.#resolveClosed()
  }

  #perform (action: OrderAction): void {
    const { ports, order, nonce, bounds } = this.#options
    match(action)
      .with({ type: 'claim' }, ({ version }) => this.#track(this.#claim(version)))
      .with({ type: 'delay' }, () => this.#track(this.#delay()))
      .with({ type: 'send' }, ({ attempt, again }) => ports.dispatcher.send(attempt, again, event => this.#take(event)))
      .with({ type: 'cancel' }, ({ attempt }) => ports.dispatcher.cancel(attempt))
      .with({ type: 'linger' }, () => this.#addTimer(bounds.lingerMs, { type: 'lingered' }))
      .with({ type: 'record' }, ({ outcome }) => ports.ledger.record(order, nonce, outcome))
      .with({ type: 'release' }, () => this.#track(this.#release()))
      .with({ type: 'forward' }, () => this.#track(this.#forward()))
      .with({ type: 'answer' }, ({ reply }) => this.#answer(reply))
      .exhaustive()
  }

  async #claim (version: number): Promise<void> {
    const { ports, order, nonce, deadlineAtMs } = this.#options
    const result = await ports.ledger.claim(order, nonce, version)
    if (result.type !== 'claimed') return this.#take(result)
    const late = performance.now() >= deadlineAtMs || Date.now() >= this.#deadlineWallMs
    this.#take({ type: 'claimed', late })
  }

  async #delay (): Promise<void> {
    await sleep(this.#backoff.drawDelay())
    this.#take({ type: 'delayed' })
  }

  /** Only an answer waits for its record; whoever is refused hears it at once. */
  #answer (reply: OrderReply): void {
    if (reply.type !== 'ran') return this.#resolveReply(reply)
    const { ports, order, bounds } = this.#options
    ports.ledger.waitRecorded(order, bounds.recordHoldMs).then(() => this.#resolveReply(reply))
  }

  async #release (): Promise<void> {
    const { ports, order, nonce, signal, noteAbandoned } = this.#options
    noteAbandoned(false)
    await ports.ledger.release(order, nonce, signal)
    if (!signal.aborted) noteAbandoned(true)
  }

  async #forward (): Promise<void> {
    const reply = await this.#options.ports.forward()
    this.#take(reply === null ? { type: 'unforwarded' } : { type: 'forwarded', reply })
  }

  #addTimer (ms: number, event: OrderEvent): void {
    this.#timers.push(setTimeout(() => this.#take(event), ms))
  }

  #track (work: Promise<void>): void {
    this.#background.add(work)
    work.finally(() => this.#background.delete(work))
  }
}
