import { Admission } from 'knapweedshunt-admission'
import type { AdmissionAction, AdmissionEvent } from 'knapweedshunt-admission'
import type { RequestId, RouterSnapshot } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { createCallerError } from './callerError.ts'
import type { CallerErrorInstance } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'

interface Waiter {
  admit (): void
  refuse (error: CallerErrorInstance): void
}

/** Holds requests until the admission decides. */
export class AdmissionGate {
  readonly #admission = new Admission()
  readonly #waiters = new Map<RequestId, Waiter>()
  readonly #endpointWindow: number

  constructor (endpointWindow: number) {
    this.#endpointWindow = endpointWindow
  }

  /** Resolves when the request may start; rejects with CallerError when refused or the caller left. */
  async enter (request: CallerRequest, signal: AbortSignal): Promise<void> {
    const { requestId, organisation, pool, priorityClass, deadlineAtMs } = request
    const leave = () => {
      this.#take({ type: 'left', requestId })
      this.#waiters.get(requestId)?.refuse(createCallerError('deadline_unreachable', 'The caller left.'))
    }
    signal.addEventListener('abort', leave, { once: true })
    try {
      await new Promise<void>((resolve, reject) => {
        this.#waiters.set(requestId, { admit: resolve, refuse: reject })
        this.#take({ type: 'offered', request: { requestId, organisation, pool, priorityClass, deadlineAtMs } })
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

  /** Takes the pools' capacity from a snapshot. */
  takeSnapshot (snapshot: RouterSnapshot): void {
    const counts = new Map<string, number>()
    for (const resource of snapshot.resources.resources) {
      if (resource.kind === 'Endpoint') counts.set(resource.spec.pool, (counts.get(resource.spec.pool) ?? 0) + this.#endpointWindow)
    }
    for (const [pool, concurrent] of counts) this.#take({ type: 'capacity', pool, concurrent })
  }

  #take (event: AdmissionEvent): void {
    for (const action of this.#admission.take(event)) this.#perform(action)
  }

  #perform (action: AdmissionAction): void {
    match(action)
      .with({ type: 'admit' }, ({ requestId }) => this.#waiters.get(requestId)?.admit())
      .with({ type: 'refuse' }, ({ requestId, code, retryAfterMs }) => {
        this.#waiters.get(requestId)?.refuse(createCallerError(code, 'The request was not started: try again later.', 'not-run', retryAfterMs))
      })
      .exhaustive()
  }
}
