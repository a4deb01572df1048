import { Admission, DEFAULT_ADMISSION_OPTIONS } from 'knapweedshunt-admission'
import type { AdmissionAction, AdmissionEvent, Demand, RefusalCode } from 'knapweedshunt-admission'
import type { AttemptId, EndpointName, PoolName, RequestId, ResourceSnapshot, RouterSnapshot } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { createCallerError } from './callerError.ts'
import type { CallerErrorInstance, CallerErrorCode } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { EndpointTable } from './endpointTable.ts'
import { countActiveVms, listPriorityClassRules, listOrganisationRules } from './admissionRules.ts'

interface WaitingRequest {
  admit (): void
  refuse (error: CallerErrorInstance): void
}

/** Options of {@link AdmissionController}. */
export interface AdmissionControllerOptions {
  vm: string
  seed: number
  /** Upper limit of the concurrency window of an endpoint, in requests in flight. */
  endpointWindow: number
}

const ERROR_CODES: Record<RefusalCode, CallerErrorCode> = {
  no_capacity: 'no_endpoint',
  queue_full: 'queue_full',
  deadline_unreachable: 'deadline_unreachable',
  limit_exceeded: 'limit_exceeded'
}

const ERROR_MESSAGES: Record<RefusalCode, string> = {
  no_capacity: 'No endpoint can take requests now; the request was not started: try again later.',
  queue_full: 'The queue is full; the request was not started: try again later.',
  deadline_unreachable: 'The request cannot start before its deadline and was not started: try again later, or with more time.',
  limit_exceeded: 'The organisation\'s limit is used up; the request was not started: try again later.'
}

/** Runs admission control for one router: queues requests until they are admitted or refused, and schedules the ticks of the decision module. */
export class AdmissionController {
  readonly #admission: Admission
  readonly #waitingRequests = new Map<RequestId, WaitingRequest>()
  #pools: PoolName[] = []
  #revision = -1
  #timer: NodeJS.Timeout | undefined

  constructor ({ vm, seed, endpointWindow }: AdmissionControllerOptions) {
    const { window } = DEFAULT_ADMISSION_OPTIONS
    const initial = Math.min(window.initial, endpointWindow)
    this.#admission = new Admission({ ...DEFAULT_ADMISSION_OPTIONS, vm, seed, window: { ...window, initial, max: endpointWindow } })
  }

  /** Resolves when the request is admitted; rejects with CallerError when it is refused or the caller disconnects. */
  async waitForAdmission (request: CallerRequest, signal: AbortSignal): Promise<void> {
    const { requestId, organisation, pool, priorityClass, deadlineAtMs, levels } = request
    const handleAbort = () => {
      this.#handleEvent({ type: 'left', requestId })
      this.#waitingRequests.get(requestId)?.refuse(createCallerError('deadline_unreachable', 'The caller left.'))
    }
    signal.addEventListener('abort', handleAbort, { once: true })
    try {
      await new Promise<void>((resolve, reject) => {
        this.#waitingRequests.set(requestId, { admit: resolve, refuse: reject })
        this.#handleEvent({ type: 'offered', request: { requestId, organisation, pool, priorityClass, deadlineAtMs, tokens: levels.at(-1)?.tokens ?? 0 } })
        if (signal.aborted) handleAbort()
      })
    } finally {
      signal.removeEventListener('abort', handleAbort)
      this.#waitingRequests.delete(requestId)
    }
  }

  /** Releases the slot of an admitted request. */
  release (requestId: RequestId): void {
    this.#handleEvent({ type: 'released', requestId })
  }

  /** Counts an attempt in the concurrency window of its endpoint. */
  recordAttemptStart (attempt: AttemptId, endpoint: EndpointName): void {
    this.#handleEvent({ type: 'attemptStarted', attempt, endpoint })
  }

  /** Removes a finished attempt from the concurrency window of its endpoint. */
  recordAttemptFinish (attempt: AttemptId): void {
    this.#handleEvent({ type: 'attemptFinished', attempt })
  }

  /** Records the time to first token of an attempt; `tokens` is the length of its prompt. */
  recordFirstTokenDelay (endpoint: EndpointName, firstTokenMs: number, tokens: number): void {
    this.#handleEvent({ type: 'delay', endpoint, firstTokenMs, tokens })
  }

  /** Records that an endpoint rejected an attempt because of overload or stalled. */
  recordOverload (endpoint: EndpointName): void {
    this.#handleEvent({ type: 'overloaded', endpoint })
  }

  /** Applies the demand that a peer reported. */
  applyPeerDemand (vm: string, demands: Demand[]): void {
    this.#handleEvent({ type: 'demand', vm, demands })
  }

  /** Lists this VM's `maxCount` largest demands of organisations with limits, to be sent to peers. */
  listDemands (maxCount: number): Demand[] {
    return this.#admission.listDemands(maxCount)
  }

  /** Lists the endpoints of a pool whose concurrency window is full. */
  listFullEndpoints (pool: PoolName): EndpointName[] {
    return this.#admission.listFullEndpoints(pool)
  }

  /** Counts running and queued requests, and attempts in flight. */
  countRequests (): { running: number, waiting: number, attempts: number } {
    return this.#admission.countRequests()
  }

  /** Applies the rules and usable endpoints of a snapshot; `peerTimeoutMs` is the time without a message after which a peer counts as timed out. */
  applySnapshot (snapshot: RouterSnapshot, table: EndpointTable, peerTimeoutMs: number): void {
    this.#applyResources(snapshot.resources)
    this.#handleEvent({ type: 'vms', count: countActiveVms(snapshot), peerTimeoutMs })
    const pools = new Set([...this.#pools, ...table.listPools()])
    this.#pools = table.listPools()
    for (const pool of pools) this.#handleEvent({ type: 'endpoints', pool, endpoints: table.listUsable(pool) })
  }

  /** Cancels the scheduled tick. */
  close (): void {
    clearTimeout(this.#timer)
  }

  #applyResources ({ revision, resources }: ResourceSnapshot): void {
    if (revision === this.#revision) return
    this.#revision = revision
    this.#handleEvent({ type: 'classes', classes: listPriorityClassRules(resources) })
    this.#handleEvent({ type: 'rules', rules: listOrganisationRules(resources) })
  }

  #handleEvent (event: AdmissionEvent): void {
    for (const action of this.#admission.handleEvent(event)) this.#performAction(action)
    this.#scheduleTick()
  }

  #scheduleTick (): void {
    clearTimeout(this.#timer)
    const nextMs = this.#admission.findNextTickAtMs()
    if (nextMs !== Infinity) this.#timer = setTimeout(() => this.#handleEvent({ type: 'tick' }), Math.max(1, Math.ceil(nextMs - performance.now())))
  }

  #performAction (action: AdmissionAction): void {
    match(action)
      .with({ type: 'admit' }, ({ requestId }) => this.#waitingRequests.get(requestId)?.admit())
      .with({ type: 'refuse' }, ({ requestId, code, retryAfterMs }) => {
        this.#waitingRequests.get(requestId)?.refuse(createCallerError(ERROR_CODES[code], ERROR_MESSAGES[code], 'not-run', retryAfterMs))
      })
      .exhaustive()
  }
}
