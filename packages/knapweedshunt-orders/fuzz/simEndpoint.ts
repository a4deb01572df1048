import type { OrderEvent } from 'knapweedshunt-orders'
import type { Fault, Step } from './faults.ts'
import type { OrderOracle } from './orderOracle.ts'
import type { SimRouter } from './simRouter.ts'

const RESPONSE_DELAY_MS = 1
const RUN_MS = 20

/** Request of one attempt to an endpoint. */
export interface SimCall {
  order: string
  attempt: string
  router: SimRouter
  emit (event: OrderEvent): void
}

/** Simulated endpoint that runs orders. Each queued fault affects one of its next calls. */
export class SimEndpoint {
  /** Runs an idempotency key at most once, even across restarts. */
  readonly checksIdempotencyKeys: boolean
  readonly faults: Fault[] = []
  readonly #oracle: OrderOracle
  readonly #recordStep: (step: Step, router: SimRouter) => void
  readonly #answers = new Map<string, string>()
  #lastCall: SimCall | null = null

  constructor (checksIdempotencyKeys: boolean, oracle: OrderOracle, recordStep: (step: Step, router: SimRouter) => void) {
    this.checksIdempotencyKeys = checksIdempotencyKeys
    this.#oracle = oracle
    this.#recordStep = recordStep
  }

  /** Whether this connection is refused before any byte is sent; consumes the queued fault. */
  consumeRefusal (): boolean {
    return this.#consumeFault('endpoint-refused')
  }

  /** Handles a call whose bytes have arrived. */
  call (call: SimCall): void {
    const previousCall = this.#lastCall
    this.#lastCall = call
    this.#recordStep('attempt-sent', call.router)
    if (this.#consumeFault('endpoint-crash-before')) return this.#breakConnection(call)
    setTimeout(() => this.#run(call, previousCall), RUN_MS)
  }

  #run (call: SimCall, previousCall: SimCall | null): void {
    this.#recordStep('running', call.router)
    const body = this.#execute(call.order)
    this.#recordStep('ran', call.router)
    if (this.#consumeFault('endpoint-crash-during') || this.#consumeFault('endpoint-crash-after')) return this.#breakConnection(call)
    const event: OrderEvent = { type: 'answered', attempt: call.attempt, answer: { status: 200, contentType: 'text/plain', body } }
    if (previousCall !== null && this.#consumeFault('crossed-answer')) this.#emit(previousCall, event)
    this.#emit(call, event)
    if (this.#consumeFault('doubled-answer')) this.#emit(call, { ...event, answer: { status: 200, contentType: 'text/plain', body: 'doubled' } })
  }

  #execute (order: string): string {
    const known = this.checksIdempotencyKeys ? this.#answers.get(order) : undefined
    const body = known ?? this.#oracle.recordExecution(order)
    this.#answers.set(order, body)
    return body
  }

  #breakConnection (call: SimCall): void {
    this.#oracle.markMayHaveRun(call.order)
    this.#emit(call, { type: 'broken', attempt: call.attempt })
  }

  #emit (call: SimCall, event: OrderEvent): void {
    setTimeout(async () => {
      if (call.router.isPaused()) this.#oracle.markMayHaveRun(call.order)
      await call.router.waitResumed()
      this.#recordStep('attempt-answered', call.router)
      if (call.router.isPaused()) this.#oracle.markMayHaveRun(call.order)
      await call.router.waitResumed()
      call.emit(event)
    }, RESPONSE_DELAY_MS)
  }

  #consumeFault (fault: Fault): boolean {
    const i = this.faults.indexOf(fault)
    if (i >= 0) this.faults.splice(i, 1)
    return i >= 0
  }
}
