import type { PoolName, RequestId } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { AdmissionAction, AdmissionEvent, AdmissionRequest } from './admissionTypes.ts'

/** Most requests that wait for one pool. */
const MAX_QUEUE = 1_000

/** Wait suggested to a refused caller, in milliseconds. */
const RETRY_AFTER_MS = 1_000

interface PoolQueue {
  concurrent: number
  running: Set<RequestId>
  waiting: AdmissionRequest[]
}

/** Decides which request starts and which is refused. Opens nothing. */
export class Admission {
  readonly #pools = new Map<PoolName, PoolQueue>()

  /** Takes an event and returns what follows from it. */
  take (event: AdmissionEvent): AdmissionAction[] {
    return match(event)
      .with({ type: 'offered' }, ({ request }) => this.#offer(request))
      .with({ type: 'released' }, ({ requestId }) => this.#release(requestId))
      .with({ type: 'left' }, ({ requestId }) => this.#leave(requestId))
      .with({ type: 'capacity' }, ({ pool, concurrent }) => this.#resize(pool, concurrent))
      .exhaustive()
  }

  /** Requests running and waiting. */
  countRequests (): { running: number, waiting: number } {
    const queues = [...this.#pools.values()]
    return {
      running: queues.reduce((sum, queue) => sum + queue.running.size, 0),
      waiting: queues.reduce((sum, queue) => sum + queue.waiting.length, 0)
    }
  }

  #offer (request: AdmissionRequest): AdmissionAction[] {
    const queue = this.#openQueue(request.pool)
    if (queue.waiting.length >= MAX_QUEUE) {
      return [{ type: 'refuse', requestId: request.requestId, code: 'queue_full', retryAfterMs: RETRY_AFTER_MS }]
    }
    queue.waiting.push(request)
    return this.#drain(queue)
  }

  #release (requestId: RequestId): AdmissionAction[] {
    for (const queue of this.#pools.values()) {
      if (queue.running.delete(requestId)) return this.#drain(queue)
    }
    return []
  }

  #leave (requestId: RequestId): AdmissionAction[] {
    for (const queue of this.#pools.values()) queue.waiting = queue.waiting.filter(request => request.requestId !== requestId)
    return []
  }

  #resize (pool: PoolName, concurrent: number): AdmissionAction[] {
    const queue = this.#openQueue(pool)
    queue.concurrent = concurrent
    return this.#drain(queue)
  }

  #drain (queue: PoolQueue): AdmissionAction[] {
    const actions: AdmissionAction[] = []
    while (queue.running.size < queue.concurrent && queue.waiting.length > 0) {
      const request = queue.waiting.shift()!
      queue.running.add(request.requestId)
      actions.push({ type: 'admit', requestId: request.requestId })
    }
    return actions
  }

  #openQueue (pool: PoolName): PoolQueue {
    const queue = this.#pools.get(pool) ?? { concurrent: 0, running: new Set(), waiting: [] }
    this.#pools.set(pool, queue)
    return queue
  }
}
