import { Admission, DEFAULT_ADMISSION_OPTIONS } from 'knapweedshunt-admission'
import type { AdmissionAction, AdmissionEvent, Demand, RefusalCode } from 'knapweedshunt-admission'
import type { AttemptId, EndpointName, PoolName, RequestId, ResourceSnapshot, RouterSnapshot } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { createCallerError } from './callerError.ts'
import type { CallerErrorInstance, CallerCode } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { EndpointTable } from './endpointTable.ts'
import { countVms, listClasses, listRules } from './readRules.ts'

interface Waiter {
  admit (): void
  refuse (error: CallerErrorInstance): void
}

/** Options of the gate. */
export interface GateOptions {
  vm: string
  seed: number
  /** Most requests in flight per endpoint. */
  endpointWindow: number
}

const CODES: Record<RefusalCode, CallerCode> = {
  no_capacity: 'no_endpoint',
  queue_full: 'queue_full',
  deadline_unreachable: 'deadline_unreachable',
  limit_exceeded: 'limit_exceeded'
}

const MESSAGES: Record<RefusalCode, string> = {
  no_capacity: 'No endpoint can take requests now; the request was not started: try again later.',
  queue_full: 'The queue is full; the request was not started: try again later.',
  deadline_unreachable: 'The request cannot start before its deadline and was not started: try again later, or with more time.',
  limit_exceeded: 'The organisation\'s limit is used up; the request was not started: try again later.'
}

/** Holds requests until the admission decides. */
export class AdmissionGate {
  readonly #admission: Admission
  readonly #waiters = new Map<RequestId, Waiter>()
  #pools: PoolName[] = []
  #revision = -1
  #timer: NodeJS.Timeout | undefined

  constructor ({ vm, seed, endpointWindow }: GateOptions) {
    const { window } = DEFAULT_ADMISSION_OPTIONS
    const initial = Math.min(window.initial, endpointWindow)
    this.#admission = new Admission({ ...DEFAULT_ADMISSION_OPTIONS, vm, seed, window: { ...window, initial, max: endpointWindow } })
  }

  /** Resolves when the request may start; rejects with CallerError when refused or the caller left. */
  async enter (request: CallerRequest, signal: AbortSignal): Promise<void> {
    const { requestId, organisation, pool, priorityClass, deadlineAtMs, levels } = request
    const leave = () => {
      this.#take({ type: 'left', requestId })
      this.#waiters.get(requestId)?.refuse(createCallerError('deadline_unreachable', 'The caller left.'))
    }
    signal.addEventListener('abort', leave, { once: true })
    try {
      await new Promise<void>((resolve, reject) => {
        this.#waiters.set(requestId, { admit: resolve, refuse: reject })
        this.#take({ type: 'offered', request: { requestId, organisation, pool, priorityClass, deadlineAtMs, tokens: levels.at(-1)?.tokens ?? 0 } })
        if (signal.aborted) leave()
      })
    } finally {
      signal.removeEventListener('abort', leave)
      this.#waiters.delete(requestId)
    }
  }

  /** Frees the place of a request that was admitted. */
  leave (requestId: RequestId): void {
    this.#take({ type: 'released', requestId })
  }

  /** An attempt went to an endpoint. */
  noteStarted (attempt: AttemptId, endpoint: EndpointName): void {
    this.#take({ type: 'attemptStarted', attempt, endpoint })
  }

  /** An attempt is over. */
  noteFinished (attempt: AttemptId): void {
    this.#take({ type: 'attemptFinished', attempt })
  }

  /** Takes the delay to an attempt's first token. */
  noteDelay (endpoint: EndpointName, firstTokenMs: number, tokens: number): void {
    this.#take({ type: 'delay', endpoint, firstTokenMs, tokens })
  }

  /** An endpoint has too much work or gave nothing in time. */
  noteOverloaded (endpoint: EndpointName): void {
    this.#take({ type: 'overloaded', endpoint })
  }

  /** Takes a peer's demand. */
  noteDemand (vm: string, demands: Demand[]): void {
    this.#take({ type: 'demand', vm, demands })
  }

  /** This VM's `most` largest demands of limited organisations, to be told to peers. */
  listDemands (most: number): Demand[] {
    return this.#admission.listDemands(most)
  }

  /** Endpoints of a pool that have all they should have. */
  listFull (pool: PoolName): EndpointName[] {
    return this.#admission.listFullEndpoints(pool)
  }

  /** Requests running and waiting, and attempts in flight. */
  countRequests (): { running: number, waiting: number, attempts: number } {
    return this.#admission.countRequests()
  }

  /** Takes rules and usable endpoints; `silentMs` is the time after which an unheard VM counts as silent. */
  takeSnapshot (snapshot: RouterSnapshot, table: EndpointTable, silentMs: number): void {
    this.#takeResources(snapshot.resources)
    this.#take({ type: 'vms', count: countVms(snapshot), peerTimeoutMs: silentMs })
    const pools = new Set([...this.#pools, ...table.listPools()])
    this.#pools = table.listPools()
    for (const pool of pools) this.#take({ type: 'endpoints', pool, endpoints: table.listUsable(pool) })
  }

  /** Stops the clock. */
  close (): void {
    clearTimeout(this.#timer)
  }

  #takeResources ({ revision, resources }: ResourceSnapshot): void {
    if (revision === this.#revision) return
    this.#revision = revision
    this.#take({ type: 'classes', classes: listClasses(resources) })
    this.#take({ type: 'rules', rules: listRules(resources) })
  }

  #take (event: AdmissionEvent): void {
    for (const action of this.#admission.handleEvent(event)) this.#perform(action)
    this.#setTimer()
  }

  #setTimer (): void {
    clearTimeout(this.#timer)
    const nextMs = this.#admission.findNextTickAtMs()
    if (nextMs !== Infinity) this.#timer = setTimeout(() => this.#take({ type: 'tick' }), Math.max(1, Math.ceil(nextMs - performance.now())))
  }

  #perform (action: AdmissionAction): void {
    match(action)
      .with({ type: 'admit' }, ({ requestId }) => this.#waiters.get(requestId)?.admit())
      .with({ type: 'refuse' }, ({ requestId, code, retryAfterMs }) => {
        this.#waiters.get(requestId)?.refuse(createCallerError(CODES[code], MESSAGES[code], 'not-run', retryAfterMs))
      })
      .exhaustive()
  }
}
