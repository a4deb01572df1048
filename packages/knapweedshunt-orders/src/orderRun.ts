import { Backoff } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { OrderAction } from './orderAction.ts'
import type { OrderEvent, ExecutionSite } from './orderEvent.ts'
import type { OrderStateMachine } from './orderStateMachine.ts'
import type { OrderOptions } from './orderOptions.ts'
import type { OrderPorts } from './orderPorts.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderRequest } from './orderRequest.ts'

/** What one run of an order needs. */
export interface OrderRunOptions {
  order: OrderRequest
  nonce: string
  site: ExecutionSite
  /** Monotonic clock, milliseconds. */
  deadlineAtMs: number
  machine: OrderStateMachine
  ports: OrderPorts
  bounds: OrderOptions
  rng: Rng
  /** Aborts background writes. */
  signal: AbortSignal
  /** Called with false when the claim is abandoned, and with true when its tombstone is written. */
  recordAbandoned (isTombstoneWritten: boolean): void
}

/** Drives one {@link OrderStateMachine}: performs its actions and passes the results back as events. */
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

  /** Starts the run. Resolves to the reply for the caller; background work may continue afterwards. */
  start (): Promise<OrderReply> {
    const reply = new Promise<OrderReply>(resolve => { this.#resolveReply = resolve })
    const { bounds, deadlineAtMs, site } = this.#options
    this.#addTimer(bounds.claimTimeoutMs, { type: 'claim-timeout' })
    this.#addTimer(Math.max(0, deadlineAtMs - performance.now()), { type: 'deadline' })
    this.#handleEvent({ type: 'started', site })
    return reply
  }

  /** Resolves when the state machine is closed; writes may still be in progress. */
  waitClosed (): Promise<void> {
    return this.#closed
  }

  /** Resolves when the state machine is closed and all background work is done. */
  async waitSettled (): Promise<void> {
    await this.#closed
    while (this.#background.size > 0) await Promise.all(this.#background)
  }

  #handleEvent (event: OrderEvent): void {
    for (const action of this.#options.machine.handleEvent(event)) this.#perform(action)
    if (this.#options.machine.state.type !== 'closed') return
    for (const timer of this.#timers) clearTimeout(timer)
    this.#resolveClosed()
  }

  #perform (action: OrderAction): void {
    const { ports, order, nonce, bounds } = this.#options
    match(action)
      .with({ type: 'claim' }, ({ version }) => this.#track(this.#claim(version)))
      .with({ type: 'delay' }, () => this.#track(this.#delay()))
      .with({ type: 'send' }, ({ attempt, isResend }) => ports.dispatcher.send(attempt, isResend, event => this.#handleEvent(event)))
      .with({ type: 'cancel' }, ({ attempt }) => ports.dispatcher.cancel(attempt))
      .with({ type: 'await-late-answer' }, () => this.#addTimer(bounds.lateAnswerTimeoutMs, { type: 'late-answer-timeout' }))
      .with({ type: 'record' }, ({ outcome }) => ports.ledger.record(order, nonce, outcome))
      .with({ type: 'release' }, () => this.#track(this.#release()))
      .with({ type: 'forward' }, () => this.#track(this.#forward()))
      .with({ type: 'answer' }, ({ reply }) => this.#answer(reply))
      .exhaustive()
  }

  async #claim (version: number): Promise<void> {
    const { ports, order, nonce, deadlineAtMs } = this.#options
    const result = await ports.ledger.claim(order, nonce, version)
    if (result.type !== 'claimed') return this.#handleEvent(result)
    const isLate = performance.now() >= deadlineAtMs || Date.now() >= this.#deadlineWallMs
    this.#handleEvent({ type: 'claimed', isLate })
  }

  async #delay (): Promise<void> {
    await sleep(this.#backoff.drawDelay())
    this.#handleEvent({ type: 'delay-elapsed' })
  }

  /** Delays a `ran` reply until its outcome is recorded or the record timeout expires. Other replies are returned at once. */
  #answer (reply: OrderReply): void {
    if (reply.type !== 'ran') return this.#resolveReply(reply)
    const { ports, order, bounds } = this.#options
    ports.ledger.waitRecorded(order, bounds.recordTimeoutMs).then(() => this.#resolveReply(reply))
  }

  async #release (): Promise<void> {
    const { ports, order, nonce, signal, recordAbandoned } = this.#options
    recordAbandoned(false)
    await ports.ledger.release(order, nonce, signal)
    if (!signal.aborted) recordAbandoned(true)
  }

  async #forward (): Promise<void> {
    const reply = await this.#options.ports.forward()
    this.#handleEvent(reply === null ? { type: 'forward-failed' } : { type: 'forwarded', reply })
  }

  #addTimer (ms: number, event: OrderEvent): void {
    this.#timers.push(setTimeout(() => this.#handleEvent(event), ms))
  }

  #track (work: Promise<void>): void {
    this.#background.add(work)
    work.finally(() => this.#background.delete(work))
  }
}
