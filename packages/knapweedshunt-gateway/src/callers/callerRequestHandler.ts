import type http from 'node:http'
import type { EndpointName } from 'knapweedshunt-types'
import type { FlowDependencies } from '../flow/flowDependencies.ts'
import type { RequestPlan } from '../flow/requestPlan.ts'
import type { RequestPlanner } from '../flow/requestPlanner.ts'
import { RequestTask } from '../flow/requestTask.ts'
import { RETRY_OTHER_VM_MS } from '../flow/retryOtherVm.ts'
import { abortResponse } from '../shared/abortResponse.ts'
import { CallerError, createCallerError } from '../shared/callerError.ts'
import { sendRouterResponse } from '../shared/sendRouterResponse.ts'

interface ArrivedRequest {
  request: http.IncomingMessage
  response: http.ServerResponse
  /** Null until it was read. */
  requestId: string | null
  arrivedAtMs: number
}

/** Dependencies of the request handler. */
export interface CallerRequestHandlerDependencies {
  requestPlanner: RequestPlanner
  flowDependencies: FlowDependencies
}

/** Handles the requests of callers: checks each one and runs it until it is answered, or refuses it. */
export class CallerRequestHandler {
  readonly #dependencies: CallerRequestHandlerDependencies
  readonly #tasks = new Set<RequestTask>()
  /** Requests that are not checked yet. */
  readonly #arrivals = new Set<ArrivedRequest>()
  #inFlight = 0
  #isRefusing = false

  constructor (dependencies: CallerRequestHandlerDependencies) {
    this.#dependencies = dependencies
  }

  /** Number of requests in flight. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Refuses all new requests. Callers have had time to switch to another VM, and a new request might not end before the VM stops. */
  refuseNewRequests (): void {
    this.#isRefusing = true
  }

  /** Ends all requests in flight at once: each gets an answer, or its response is aborted. */
  stopRequests (): void {
    for (const arrival of this.#arrivals) this.#refuse(arrival, createStoppingError())
    for (const task of this.#tasks) task.stop()
  }

  /** Moves resumable streams away from these endpoints. */
  moveStreamsFrom (endpoints: ReadonlySet<EndpointName>): void {
    for (const task of this.#tasks) task.moveStreamFrom(endpoints)
  }

  /** Handles one request; unexpected errors are logged and close the connection. */
  handleRequest (request: http.IncomingMessage, response: http.ServerResponse): void {
    this.#inFlight++
    this.#processRequest(request, response).finally(() => { this.#inFlight-- }).catch(error => {
      this.#dependencies.flowDependencies.log.error('Request failed with an internal error.', { reason: (error as Error).message })
      abortResponse(response)
    })
  }

  async #processRequest (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const arrival: ArrivedRequest = { request, response, requestId: null, arrivedAtMs: performance.now() }
    try {
      const plan = await this.#planRequest(arrival)
      if (response.writableEnded) return
      const task = new RequestTask(this.#dependencies.flowDependencies, plan, response)
      this.#tasks.add(task)
      await task.run().finally(() => this.#tasks.delete(task))
    } catch (error) {
      if (!(error instanceof CallerError)) throw error
      this.#refuse(arrival, error)
    }
  }

  async #planRequest (arrival: ArrivedRequest): Promise<RequestPlan> {
    const { requestPlanner, flowDependencies } = this.#dependencies
    const call = flowDependencies.endpointPort.decodeCall(arrival.request)
    arrival.requestId = call.requestId
    if (this.#isRefusing) throw createStoppingError()
    this.#arrivals.add(arrival)
    return await requestPlanner.createPlan(arrival.request, call, arrival.arrivedAtMs).finally(() => this.#arrivals.delete(arrival))
  }

  /** Refuses a request that was not sent to any endpoint, unless it was refused already. */
  #refuse ({ response, requestId, arrivedAtMs }: ArrivedRequest, { routerResponse, message }: InstanceType<typeof CallerError>): void {
    if (response.writableEnded) return
    const { metrics, decisionLog, endpointPort } = this.#dependencies.flowDependencies
    metrics.recordRefusal(routerResponse.code)
    decisionLog.record({
      type: 'refused',
      requestId: requestId ?? '',
      route: '',
      organisation: '',
      status: routerResponse.status,
      reason: routerResponse.code,
      ran: 'not-run',
      attempts: 0,
      totalMs: Math.round(performance.now() - arrivedAtMs),
      retryAfterMs: routerResponse.retryAfterMs ?? 0,
      detail: message
    })
    sendRouterResponse(response, requestId, routerResponse, endpointPort)
  }
}

function createStoppingError (): InstanceType<typeof CallerError> {
  return createCallerError(503, 'stopping', 'This VM is stopping.', { retryAfterMs: RETRY_OTHER_VM_MS, closesConnection: true })
}
