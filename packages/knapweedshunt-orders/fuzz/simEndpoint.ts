import type { OrderEvent } from 'knapweedshunt-orders'
import type { Fault, Step } from './faults.ts'
import type { OrderOracle } from './orderOracle.ts'
import type { SimRouter } from './simRouter.ts'

const CONNECT_MS = 1
const RUN_MS = 20

/** A call of one attempt. */
export interface SimCall {
  order: string
  attempt: string
  router: SimRouter
  emit (event: OrderEvent): void
}

/** An endpoint that runs orders, with faults that strike its next calls. */
export class SimEndpoint {
  /** Runs a key at most once, also after a restart. */
  readonly checksKeys: boolean
  readonly faults: Fault[] = []
  readonly #oracle: OrderOracle
  readonly #take: (step: Step, router: SimRouter) => void
  readonly #answers = new Map<string, string>()
  #last: SimCall | null = null

  constructor (checksKeys: boolean, oracle: OrderOracle, take: (step: Step, router: SimRouter) => void) {
    this.checksKeys = checksKeys
    this.#oracle = oracle
    this.#take = take
  }

  /** Whether the next connection is refused before any byte. */
  refuses (): boolean {
    return this.#takeFault('endpoint-refused')
  }

  /** Runs a call whose bytes have arrived. */
  call (call: SimCall): void {
    const crossed = this.#last
    this.#last = call
    this.#take('attempt-sent', call.router)
    if (this.#takeFault('endpoint-crash-before')) return this.#break(call)
    setTimeout(() => this.#run(call, crossed), RUN_MS)
  }

  #run (call: SimCall, crossed: SimCall | null): void {
    this.#take('running', call.router)
    const body = this.#execute(call.order)
    this.#take('ran', call.router)
    if (this.#takeFault('endpoint-crash-during') || this.#takeFault('endpoint-crash-after')) return this.#break(call)
    const event: OrderEvent = { type: 'answered', attempt: call.attempt, answer: { status: 200, contentType: 'text/plain', body } }
    if (crossed !== null && this.#takeFault('crossed-answer')) this.#emit(crossed, event)
    this.#emit(call, event)
    if (this.#takeFault('doubled-answer')) this.#emit(call, { ...event, answer: { status: 200, contentType: 'text/plain', body: 'doubled' } })
  }

  #execute (order: string): string {
    const known = this.checksKeys ? this.#answers.get(order) : undefined
    const body = known ?? this.#oracle.execute(order)
    this.#answers.set(order, body)
    return body
  }

  #break (call: SimCall): void {
    this.#oracle.touch(call.order)
    this.#emit(call, { type: 'broken', attempt: call.attempt })
  }

  #emit (call: SimCall, event: OrderEvent): void {
    setTimeout(async () => {
      if (call.router.isPaused()) this.#oracle.touch(call.order)
      await call.router.waitAwake()
      this.#take('attempt-answered', call.router)
      if (call.router.isPaused()) this.#oracle.touch(call.order)
      await call.router.waitAwake()
      call.emit(event)
    }, CONNECT_MS)
  }

  #takeFault (fault: Fault): boolean {
    const i = this.faults.indexOf(fault)
    if (i >= 0) this.faults.splice(i, 1)
    return i >= 0
  }
}
