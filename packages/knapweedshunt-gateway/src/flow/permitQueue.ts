import type { PoolName } from 'knapweedshunt-types'

/** A request that waits until this VM may send a limited endpoint of its pool a request. */
export interface PermitWaiter {
  pool: PoolName
  /** 0 is served first. */
  priority: number
}

/** Order in which requests use this VM's parts of the rate limits of endpoints: by priority, then by arrival. */
export class PermitQueue {
  readonly #waiters = new Map<PoolName, PermitWaiter[]>()

  /** Adds a request behind those of the same priority. */
  add (waiter: PermitWaiter): void {
    const waiters = this.#waiters.get(waiter.pool) ?? []
    this.#waiters.set(waiter.pool, waiters)
    const i = waiters.findIndex(({ priority }) => priority > waiter.priority)
    waiters.splice(i === -1 ? waiters.length : i, 0, waiter)
  }

  /** Whether the request was added. */
  has (waiter: PermitWaiter): boolean {
    return this.#waiters.get(waiter.pool)?.includes(waiter) ?? false
  }

  /** Removes a request that no longer waits. */
  remove (waiter: PermitWaiter): void {
    const waiters = this.#waiters.get(waiter.pool) ?? []
    const i = waiters.indexOf(waiter)
    if (i !== -1) waiters.splice(i, 1)
    if (waiters.length === 0) this.#waiters.delete(waiter.pool)
  }

  /** Number of requests that come before this one, whether it was added or not. */
  countAhead (waiter: PermitWaiter): number {
    const waiters = this.#waiters.get(waiter.pool) ?? []
    const i = waiters.indexOf(waiter)
    return i === -1 ? waiters.filter(({ priority }) => priority <= waiter.priority).length : i
  }
}
