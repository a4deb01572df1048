import type http from 'node:http'
import type { EndpointName } from 'knapweedshunt-types'
import type { FlowDependencies } from '../flow/flowDependencies.ts'
import type { RequestPlanner } from '../flow/requestPlanner.ts'
import { RETRY_OTHER_VM_MS } from '../flow/requestPlanner.ts'
import { RequestTask } from '../flow/requestTask.ts'
import { abortResponse } from '../shared/abortResponse.ts'
import { CallerError, createCallerError } from '../shared/callerError.ts'
import { sendRouterResponse } from '../shared/sendRouterResponse.ts'

/** Dependencies of the request handler. */
export interface CallerRequestHandlerDependencies {
  requestPlanner: RequestPlanner
  flowDependencies: FlowDependencies
}

/** Handles the requests of callers: checks each one and runs it until it is answered, or refuses it. */
export class CallerRequestHandler {
  readonly #dependencies: CallerRequestHandlerDependencies
  readonly #tasks = new Set<RequestTask>()
  /** Responses to requests that are not checked yet, with their ids. */
  readonly #unplannedResponses = new Map<http.ServerResponse, string | null>()
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
    const { endpointPort } = this.#dependencies.flowDependencies
    for (const [response, requestId] of this.#unplannedResponses) sendRouterResponse(response, requestId, createStoppingError().routerResponse, endpointPort)
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
    const { requestPlanner, flowDependencies } = this.#dependencies
    const arrivedAtMs = performance.now()
    let requestId: string | null = null
    try {
      const call = flowDependencies.endpointPort.decodeCall(request)
      requestId = call.requestId
      if (this.#isRefusing) throw createStoppingError()
      this.#unplannedResponses.set(response, requestId)
      const plan = await requestPlanner.createPlan(request, call, arrivedAtMs).finally(() => this.#unplannedResponses.delete(response))
      if (response.writableEnded) return
      const task = new RequestTask(flowDependencies, plan, response)
      this.#tasks.add(task)
      await task.run().finally(() => this.#tasks.delete(task))
    } catch (error) {
      if (!(error instanceof CallerError)) throw error
      this.#recordRefused(error, requestId, performance.now() - arrivedAtMs)
      sendRouterResponse(response, requestId, error.routerResponse, flowDependencies.endpointPort)
    }
  }

  #recordRefused ({ routerResponse, message }: InstanceType<typeof CallerError>, requestId: string | null, ageMs: number): void {
    const { metrics, decisionLog } = this.#dependencies.flowDependencies
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
      totalMs: Math.round(ageMs),
      retryAfterMs: routerResponse.retryAfterMs ?? 0,
      detail: message
    })
  }
}

function createStoppingError (): InstanceType<typeof CallerError> {
  return createCallerError(503, 'stopping', 'This VM is stopping.', { retryAfterMs: RETRY_OTHER_VM_MS, closesConnection: true })
}
