import type http from 'node:http'
import type { EndpointName } from 'knapweedshunt-types'
import type { FlowParts } from '../flow/flowParts.ts'
import type { RequestGate } from '../flow/requestGate.ts'
import { RETRY_ELSEWHERE_MS } from '../flow/requestGate.ts'
import { RequestTask } from '../flow/requestTask.ts'
import { CallerError, createCallerError } from '../shared/callerError.ts'
import { sendOwnAnswer } from '../shared/sendOwnAnswer.ts'

/** What a desk is made of. */
export interface DeskParts {
  gate: RequestGate
  flow: FlowParts
}

/** Takes callers' requests: each is checked and carried to its answer, or refused. */
export class CallerDesk {
  readonly #parts: DeskParts
  readonly #tasks = new Set<RequestTask>()
  #inFlight = 0
  #isClosing = false

  constructor (parts: DeskParts) {
    this.#parts = parts
  }

  /** Requests under way. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Refuses what comes from now on: callers have had time to go elsewhere, and it might not end in time. */
  close (): void {
    this.#isClosing = true
  }

  /** Lets streams that can go on elsewhere leave these endpoints. */
  leave (endpoints: ReadonlySet<EndpointName>): void {
    for (const task of this.#tasks) task.leave(endpoints)
  }

  /** Takes one request. */
  serve (message: http.IncomingMessage, answer: http.ServerResponse): void {
    this.#inFlight++
    this.#handle(message, answer).finally(() => { this.#inFlight-- }).catch(error => {
      this.#parts.flow.log.error('Request failed inside.', { reason: (error as Error).message })
      answer.destroy()
    })
  }

  async #handle (message: http.IncomingMessage, answer: http.ServerResponse): Promise<void> {
    const { gate, flow } = this.#parts
    const arrivedAtMs = performance.now()
    let requestId: string | null = null
    try {
      const call = flow.port.readCall(message)
      requestId = call.requestId
      if (this.#isClosing) throw createCallerError(503, 'stopping', 'This VM stops.', { retryAfterMs: RETRY_ELSEWHERE_MS, closes: true })
      const plan = await gate.check(message, call, arrivedAtMs)
      const task = new RequestTask(flow, plan, answer)
      this.#tasks.add(task)
      await task.run().finally(() => this.#tasks.delete(task))
    } catch (error) {
      if (!(error instanceof CallerError)) throw error
      this.#noteRefused(error, requestId, performance.now() - arrivedAtMs)
      sendOwnAnswer(answer, requestId, error.answer, flow.port)
    }
  }

  #noteRefused ({ answer, message }: InstanceType<typeof CallerError>, requestId: string | null, ageMs: number): void {
    const { figures, decisions } = this.#parts.flow
    figures.recordRefusal(answer.code)
    decisions.record({
      type: 'refused',
      requestId: requestId ?? '',
      route: '',
      organisation: '',
      status: answer.status,
      reason: answer.code,
      ran: 'not-run',
      attempts: 0,
      totalMs: Math.round(ageMs),
      retryAfterMs: answer.retryAfterMs ?? 0,
      detail: message
    })
  }
}
