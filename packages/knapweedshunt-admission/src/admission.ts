import type { EndpointName, PoolName, RequestId } from 'knapweedshunt-types'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { DEFAULT_ADMISSION_OPTIONS } from './admissionOptions.ts'
import type { AdmissionOptions } from './admissionOptions.ts'
import type { AdmissionAction, AdmissionEvent, AdmissionRequest, PriorityClassRule, Demand, RefusalCode, PoolEndpoint } from './admissionTypes.ts'
import { EndpointWindows } from './endpointWindows.ts'
import { OrganisationLimits } from './organisationLimits.ts'
import { PoolQueue } from './poolQueue.ts'

/** Decides which requests start, wait or are refused. Performs no I/O and sets no timers; reads the monotonic clock. */
export class Admission {
  readonly #options: AdmissionOptions
  readonly #rng: Rng
  readonly #windows: EndpointWindows
  readonly #limits: OrganisationLimits
  readonly #poolQueues = new Map<PoolName, PoolQueue>()
  readonly #requestsById = new Map<RequestId, AdmissionRequest>()
  #classes = new Map<string, PriorityClassRule>()

  constructor (options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS) {
    this.#options = options
    this.#rng = createRng(options.seed)
    this.#windows = new EndpointWindows(options.window)
    this.#limits = new OrganisationLimits(options.vm)
  }

  /** Applies an event and returns the resulting actions. Uses a plain switch because it runs several times per request. */
  handleEvent (event: AdmissionEvent): AdmissionAction[] {
    switch (event.type) {
      case 'offered': return this.#handleOffer(event.request)
      case 'released': case 'left': return this.#handleRelease(event.requestId)
      case 'attemptStarted': return this.#runWithoutActions(() => this.#windows.recordStart(event.attempt, event.endpoint))
      case 'attemptFinished': return this.#runWithoutActions(() => this.#windows.recordFinish(event.attempt))
      case 'delay': return this.#admitWaiting(this.#windows.recordFirstTokenDelay(event.endpoint, event.firstTokenMs, event.tokens))
      case 'overloaded': return this.#admitWaiting(this.#windows.recordOverload(event.endpoint))
      case 'tick': return [...this.#poolQueues.values()].flatMap(queue => this.#refuseExpired(queue))
      case 'endpoints': return this.#setEndpoints(event.pool, event.endpoints)
      case 'classes': return this.#setClasses(event.classes)
      case 'rules': return this.#runWithoutActions(() => this.#limits.setRules(event.rules))
      case 'vms': return this.#runWithoutActions(() => this.#limits.setVms(event.count, event.peerTimeoutMs))
      case 'demand': return this.#runWithoutActions(() => this.#limits.setPeerDemands(event.vm, event.demands, performance.now()))
    }
  }

  /** Counts running and waiting requests of all pools, and attempts in flight. */
  countRequests (): { running: number, waiting: number, attempts: number } {
    const queues = [...this.#poolQueues.values()]
    return {
      running: queues.reduce((sum, queue) => sum + queue.runningCount, 0),
      waiting: queues.reduce((sum, queue) => sum + queue.waitingQueues.size, 0),
      attempts: this.#windows.inFlight
    }
  }

  /** Time at which the next `tick` event is due, by the monotonic clock in milliseconds; Infinity when no request waits. */
  findNextTickAtMs (): number {
    let nextAtMs = Infinity
    for (const queue of this.#poolQueues.values()) nextAtMs = Math.min(nextAtMs, queue.findNextDeadlineAtMs())
    return nextAtMs
  }

  /** Maximum number of running requests of the pool. */
  getCapacity (pool: PoolName): number {
    return this.#windows.getCapacity(pool)
  }

  /** Endpoints of the pool whose concurrency window is full. */
  listFullEndpoints (pool: PoolName): EndpointName[] {
    return this.#windows.listFullEndpoints(pool)
  }

  /** Returns the `maxCount` largest demands of limited organisations on this VM, to be sent to peers. Limits are split by these demands from now on. */
  listDemands (maxCount: number): Demand[] {
    return this.#limits.listDemands(maxCount, performance.now())
  }

  #handleOffer (request: AdmissionRequest): AdmissionAction[] {
    const nowMs = performance.now()
    const queue = this.#getOrCreateQueue(request.pool)
    const expired = this.#refuseExpired(queue)
    if (this.#windows.getCapacity(request.pool) === 0) return [...expired, this.#refuse(request, 'no_capacity', 0)]
    const waitMs = this.#estimateWaitMs(queue, request)
    if (nowMs + (waitMs ?? 0) >= request.deadlineAtMs) return [...expired, this.#refuse(request, 'deadline_unreachable', waitMs ?? 0)]
    if (!queue.hasQueueSpace(request.organisation, this.#options.maxQueuedRequests)) return [...expired, this.#refuse(request, 'queue_full', waitMs ?? 0)]
    const decision = this.#limits.admit(request.organisation, request.requestId, nowMs)
    if (decision.type === 'limited') return [...expired, this.#refuse(request, 'limit_exceeded', decision.waitMs)]
    this.#requestsById.set(request.requestId, request)
    queue.enqueue({ request, weight: this.#limits.findRule(request.organisation).weight, offeredAtMs: nowMs })
    return [...expired, ...this.#admitWaiting(request.pool)]
  }

  #estimateWaitMs (queue: PoolQueue, request: AdmissionRequest): number | null {
    const capacity = this.#windows.getCapacity(request.pool)
    const freeSlots = capacity - queue.runningCount - queue.waitingQueues.size
    if (freeSlots > 0) return 0
    return queue.serviceTimes.estimateWaitMs(queue.waitingQueues.countAhead(request.organisation, request.priorityClass), capacity)
  }

  /** Removes a request whose caller disconnected or that ended, and starts waiting requests in its place. */
  #handleRelease (requestId: RequestId): AdmissionAction[] {
    const request = this.#requestsById.get(requestId)
    if (request === undefined) return []
    const queue = this.#getOrCreateQueue(request.pool)
    if (!queue.waitingQueues.remove(request)) queue.release(requestId, performance.now())
    this.#removeRequest(request)
    return this.#admitWaiting(request.pool)
  }

  #admitWaiting (pool: PoolName | undefined): AdmissionAction[] {
    const queue = pool === undefined ? undefined : this.#poolQueues.get(pool)
    if (pool === undefined || queue === undefined) return []
    const nowMs = performance.now()
    const capacity = this.#windows.getCapacity(pool)
    const actions = this.#refuseExpired(queue)
    if (capacity === 0) return [...actions, ...this.#refuseAllWaiting(queue, nowMs)]
    for (let next = queue.startNext(capacity, nowMs); next !== undefined; next = queue.startNext(capacity, nowMs)) {
      actions.push({ type: 'admit', requestId: next.requestId })
    }
    return actions
  }

  /** Refuses all waiting requests of a pool without endpoints: a new endpoint may not appear before their deadlines. */
  #refuseAllWaiting (queue: PoolQueue, nowMs: number): AdmissionAction[] {
    return queue.removeAllWaiting(nowMs).map(request => {
      this.#removeRequest(request)
      return this.#refuse(request, 'no_capacity', 0)
    })
  }

  #refuseExpired (queue: PoolQueue): AdmissionAction[] {
    return queue.removeExpired(performance.now()).map(request => {
      this.#removeRequest(request)
      return this.#refuse(request, 'deadline_unreachable', 0)
    })
  }

  #refuse (request: AdmissionRequest, code: RefusalCode, waitMs: number): AdmissionAction {
    const { retryAfterMs, maxRetryAfterMs } = this.#options
    const baseMs = Math.min(maxRetryAfterMs, Math.max(retryAfterMs, waitMs))
    return { type: 'refuse', requestId: request.requestId, code, retryAfterMs: Math.round(baseMs * (1 + this.#rng.drawFloat())) }
  }

  #removeRequest (request: AdmissionRequest): void {
    this.#requestsById.delete(request.requestId)
    this.#limits.release(request.organisation, request.requestId)
  }

  #setEndpoints (pool: PoolName, endpoints: PoolEndpoint[]): AdmissionAction[] {
    this.#windows.setEndpoints(pool, endpoints)
    return this.#admitWaiting(pool)
  }

  #setClasses (classes: PriorityClassRule[]): AdmissionAction[] {
    this.#classes = new Map(classes.map(one => [one.name, one]))
    for (const queue of this.#poolQueues.values()) queue.waitingQueues.setClasses(this.#classes)
    return []
  }

  #runWithoutActions (step: () => void): AdmissionAction[] {
    step()
    return []
  }

  #getOrCreateQueue (pool: PoolName): PoolQueue {
    const existing = this.#poolQueues.get(pool)
    if (existing !== undefined) return existing
    const queue = new PoolQueue(this.#options.agedStartInterval)
    queue.waitingQueues.setClasses(this.#classes)
    this.#poolQueues.set(pool, queue)
    return queue
  }
}
