import type { EndpointName, PoolName, RequestId } from 'knapweedshunt-types'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { DEFAULT_ADMISSION_OPTIONS } from './admissionOptions.ts'
import type { AdmissionOptions } from './admissionOptions.ts'
import type { AdmissionAction, AdmissionEvent, AdmissionRequest, ClassWeight, Demand, RefusalCode, WindowEndpoint } from './admissionTypes.ts'
import { EndpointWindows } from './endpointWindows.ts'
import { OrganisationLimits } from './organisationLimits.ts'
import { PoolQueue } from './poolQueue.ts'

/** Decides which request starts and which is refused. Opens nothing; reads the runtime's clock. */
export class Admission {
  readonly #options: AdmissionOptions
  readonly #rng: Rng
  readonly #windows: EndpointWindows
  readonly #limits: OrganisationLimits
  readonly #pools = new Map<PoolName, PoolQueue>()
  readonly #requests = new Map<RequestId, AdmissionRequest>()
  #classes = new Map<string, ClassWeight>()

  constructor (options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS) {
    this.#options = options
    this.#rng = createRng(options.seed)
    this.#windows = new EndpointWindows(options.window)
    this.#limits = new OrganisationLimits(options.vm)
  }

  /** Takes an event and returns what follows from it. A plain switch, since this runs several times for each request. */
  take (event: AdmissionEvent): AdmissionAction[] {
    switch (event.type) {
      case 'offered': return this.#offer(event.request)
      case 'released': case 'left': return this.#release(event.requestId)
      case 'attemptStarted': return this.#note(() => this.#windows.noteStarted(event.attempt, event.endpoint))
      case 'attemptFinished': return this.#note(() => this.#windows.noteFinished(event.attempt))
      case 'delay': return this.#drain(this.#windows.noteDelay(event.endpoint, event.firstTokenMs, event.tokens))
      case 'overloaded': return this.#drain(this.#windows.noteOverloaded(event.endpoint))
      case 'tick': return [...this.#pools.values()].flatMap(queue => this.#refuseExpired(queue))
      case 'endpoints': return this.#setEndpoints(event.pool, event.endpoints)
      case 'classes': return this.#setClasses(event.classes)
      case 'rules': return this.#note(() => this.#limits.setRules(event.rules))
      case 'vms': return this.#note(() => this.#limits.setVms(event.count, event.silentMs))
      case 'demand': return this.#note(() => this.#limits.noteDemand(event.vm, event.demands, performance.now()))
    }
  }

  /** Requests running and waiting, and attempts in flight. */
  countRequests (): { running: number, waiting: number, attempts: number } {
    const queues = [...this.#pools.values()]
    return {
      running: queues.reduce((sum, queue) => sum + queue.running, 0),
      waiting: queues.reduce((sum, queue) => sum + queue.queues.size, 0),
      attempts: this.#windows.inFlight
    }
  }

  /** Time of the next `tick` that may be needed, by the monotonic clock; Infinity when none is. */
  findNextTick (): number {
    let next = Infinity
    for (const queue of this.#pools.values()) next = Math.min(next, queue.findNextDeadline())
    return next
  }

  /** Requests that the pool may have running. */
  countCapacity (pool: PoolName): number {
    return this.#windows.countCapacity(pool)
  }

  /** Endpoints of the pool that have all they should have. */
  listFull (pool: PoolName): EndpointName[] {
    return this.#windows.listFull(pool)
  }

  /** This VM's `most` largest demands of limited organisations, to be told to peers: shares are split by them from now on. */
  listDemands (most: number): Demand[] {
    return this.#limits.listDemands(most, performance.now())
  }

  #offer (request: AdmissionRequest): AdmissionAction[] {
    const nowMs = performance.now()
    const queue = this.#open(request.pool)
    const expired = this.#refuseExpired(queue)
    if (this.#windows.countCapacity(request.pool) === 0) return [...expired, this.#refuse(request, 'no_capacity', 0)]
    const waitMs = this.#countWaitMs(queue, request)
    if (nowMs + (waitMs ?? 0) >= request.deadlineAtMs) return [...expired, this.#refuse(request, 'deadline_unreachable', waitMs ?? 0)]
    if (!queue.hasRoom(request.organisation, this.#options.maxQueue)) return [...expired, this.#refuse(request, 'queue_full', waitMs ?? 0)]
    const limit = this.#limits.admit(request.organisation, request.requestId, nowMs)
    if (limit.type === 'limited') return [...expired, this.#refuse(request, 'limit_exceeded', limit.waitMs)]
    this.#requests.set(request.requestId, request)
    queue.add({ request, weight: this.#limits.findRule(request.organisation).weight, offeredAtMs: nowMs })
    return [...expired, ...this.#drain(request.pool)]
  }

  #countWaitMs (queue: PoolQueue, request: AdmissionRequest): number | null {
    const capacity = this.#windows.countCapacity(request.pool)
    const free = capacity - queue.running - queue.queues.size
    if (free > 0) return 0
    return queue.meter.countWaitMs(queue.queues.countAhead(request.organisation, request.priorityClass), capacity)
  }

  /** The caller left, or the running request is over. */
  #release (requestId: RequestId): AdmissionAction[] {
    const request = this.#requests.get(requestId)
    if (request === undefined) return []
    const queue = this.#open(request.pool)
    if (!queue.queues.cancel(request)) queue.release(requestId, performance.now())
    this.#forget(request)
    return this.#drain(request.pool)
  }

  #drain (pool: PoolName | undefined): AdmissionAction[] {
    const queue = pool === undefined ? undefined : this.#pools.get(pool)
    if (pool === undefined || queue === undefined) return []
    const nowMs = performance.now()
    const capacity = this.#windows.countCapacity(pool)
    const actions = this.#refuseExpired(queue)
    if (capacity === 0) return [...actions, ...this.#refuseAll(queue, nowMs)]
    for (let next = queue.takeNext(capacity, nowMs); next !== undefined; next = queue.takeNext(capacity, nowMs)) {
      actions.push({ type: 'admit', requestId: next.requestId })
    }
    return actions
  }

  /** No endpoint is left, and none may come before the deadlines. */
  #refuseAll (queue: PoolQueue, nowMs: number): AdmissionAction[] {
    return queue.takeAll(nowMs).map(request => {
      this.#forget(request)
      return this.#refuse(request, 'no_capacity', 0)
    })
  }

  #refuseExpired (queue: PoolQueue): AdmissionAction[] {
    return queue.takeExpired(performance.now()).map(request => {
      this.#forget(request)
      return this.#refuse(request, 'deadline_unreachable', 0)
    })
  }

  #refuse (request: AdmissionRequest, code: RefusalCode, waitMs: number): AdmissionAction {
    const { retryAfterMs, maxRetryAfterMs } = this.#options
    const base = Math.min(maxRetryAfterMs, Math.max(retryAfterMs, waitMs))
    return { type: 'refuse', requestId: request.requestId, code, retryAfterMs: Math.round(base * (1 + this.#rng.float())) }
  }

  #forget (request: AdmissionRequest): void {
    this.#requests.delete(request.requestId)
    this.#limits.release(request.organisation, request.requestId)
  }

  #setEndpoints (pool: PoolName, endpoints: WindowEndpoint[]): AdmissionAction[] {
    this.#windows.setEndpoints(pool, endpoints)
    return this.#drain(pool)
  }

  #setClasses (classes: ClassWeight[]): AdmissionAction[] {
    this.#classes = new Map(classes.map(one => [one.name, one]))
    for (const queue of this.#pools.values()) queue.queues.setClasses(this.#classes)
    return []
  }

  #note (step: () => void): AdmissionAction[] {
    step()
    return []
  }

  #open (pool: PoolName): PoolQueue {
    const known = this.#pools.get(pool)
    if (known !== undefined) return known
    const queue = new PoolQueue(this.#options.agedEvery)
    queue.queues.setClasses(this.#classes)
    this.#pools.set(pool, queue)
    return queue
  }
}
