import type http from 'node:http'
import type { EndpointName } from 'knapweedshunt-types'
import type { FlowDependencies } from '../flow/flowDependencies.ts'
import type { RequestPlan } from '../flow/requestPlan.ts'
import type { RequestPlanner } from '../flow/requestPlanner.ts'
import { RequestTask } from '../flow/requestTask.ts'
import { RETRY_OTHER_VM_MS } from '../flow/retryOtherVm.ts'
import { buildRefusal } from '../peers/buildRefusal.ts'
import type { RelayedRequest } from '../peers/relayedRequest.ts'
import { buildRouterResponse } from '../shared/buildRouterResponse.ts'
import { CallerError, createCallerError } from '../shared/callerError.ts'
import { CallerResponse } from '../shared/callerResponse.ts'

/** Maximum number of requests of other VMs in flight; each holds a body and a response in memory. */
const MAX_RELAYED_REQUESTS = 400

interface ArrivedRequest {
  request: http.IncomingMessage
  callerResponse: CallerResponse
  /** Null until it was read. */
  requestId: string | null
  arrivedAtMs: number
  /** What the VM that relayed the request says; null for a request of a caller. */
  relayed: RelayedRequest | null
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
  #relayedCount = 0
  #isRefusing = false

  constructor (dependencies: CallerRequestHandlerDependencies) {
    this.#dependencies = dependencies
  }

  /** Number of requests of other VMs in flight. */
  get relayedCount (): number {
    return this.#relayedCount
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
    for (const arrival of this.#arrivals) this.#refuse(arrival, createStoppingError(arrival))
    for (const task of this.#tasks) task.stop()
  }

  /** Moves resumable streams away from these endpoints. */
  moveStreamsFrom (endpoints: ReadonlySet<EndpointName>): void {
    for (const task of this.#tasks) task.moveStreamFrom(endpoints)
  }

  /** Withdraws requests that have not begun and may not begin any more where they were sent. */
  cancelOverdue (): void {
    for (const task of this.#tasks) task.cancelOverdue()
  }

  /** Handles one request of a caller, which was read at a monotonic time; unexpected errors are logged and close the connection. */
  handleRequest (request: http.IncomingMessage, response: http.ServerResponse, arrivedAtMs: number): void {
    this.#startRequest(request, response, null, arrivedAtMs)
  }

  /** Handles one request that another VM relays. */
  handleRelayed (request: http.IncomingMessage, response: http.ServerResponse, relayed: RelayedRequest): void {
    this.#relayedCount++
    response.once('close', () => { this.#relayedCount-- })
    this.#startRequest(request, response, relayed, performance.now())
  }

  #startRequest (request: http.IncomingMessage, response: http.ServerResponse, relayed: RelayedRequest | null, arrivedAtMs: number): void {
    this.#inFlight++
    const callerResponse = new CallerResponse(response)
    this.#processRequest({ request, callerResponse, requestId: null, arrivedAtMs, relayed }).finally(() => { this.#inFlight-- }).catch(error => {
      this.#dependencies.flowDependencies.log.error('Request failed with an internal error.', { reason: (error as Error).message })
      callerResponse.abort()
    })
  }

  async #processRequest (arrival: ArrivedRequest): Promise<void> {
    try {
      const plan = await this.#planRequest(arrival)
      await this.#runPlan(arrival, plan).finally(() => { if (plan.body.type !== 'none') plan.body.release() })
    } catch (error) {
      if (!(error instanceof CallerError)) throw error
      this.#refuse(arrival, error)
    }
  }

  async #runPlan ({ callerResponse }: ArrivedRequest, plan: RequestPlan): Promise<void> {
    if (callerResponse.phase === 'ended') return this.#dependencies.flowDependencies.putBackUsage(plan)
    const task = new RequestTask(this.#dependencies.flowDependencies, plan, callerResponse)
    this.#tasks.add(task)
    await task.run().finally(() => this.#tasks.delete(task))
  }

  async #planRequest (arrival: ArrivedRequest): Promise<RequestPlan> {
    const { requestPlanner, flowDependencies } = this.#dependencies
    const call = flowDependencies.endpointPort.decodeCall(arrival.request)
    arrival.requestId = call.requestId
    if (this.#isRefusing) throw createStoppingError(arrival)
    if (arrival.relayed !== null && this.#relayedCount > MAX_RELAYED_REQUESTS) throw createCallerError(503, 'relay_full', `This VM serves ${MAX_RELAYED_REQUESTS} requests of other VMs.`, { retryAfterMs: RETRY_OTHER_VM_MS })
    this.#arrivals.add(arrival)
    return await requestPlanner.createPlan(arrival.request, call, arrival.arrivedAtMs, arrival.relayed).finally(() => this.#arrivals.delete(arrival))
  }

  /** Refuses a request that was not sent to any endpoint, unless it was refused already. */
  #refuse ({ callerResponse, requestId, arrivedAtMs, relayed }: ArrivedRequest, { routerResponse, message }: InstanceType<typeof CallerError>): void {
    if (callerResponse.phase === 'ended') return
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
    callerResponse.sendWhole(buildRouterResponse(requestId, routerResponse, endpointPort, relayed === null ? null : buildRefusal(routerResponse.code, false, routerResponse.retryAfterMs)))
  }
}

/** Connections of callers are closed by their server, which knows whether another request was read. */
function createStoppingError ({ relayed }: ArrivedRequest): InstanceType<typeof CallerError> {
  return createCallerError(503, 'stopping', 'This VM is stopping.', { retryAfterMs: RETRY_OTHER_VM_MS, closesConnection: relayed !== null })
}
