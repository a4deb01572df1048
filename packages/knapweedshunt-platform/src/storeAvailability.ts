import { readElapsedMs } from 'knapweedshunt-utils'

/** Whether a store answers, as all followers of its tables see it: it is out while the last call of each has failed. Times are on the clock of `readElapsedMs`. */
export class StoreAvailability {
  readonly #followers = new Set<object>()
  /** Followers whose last call has failed. */
  readonly #failing = new Set<object>()
  #isOut = false
  /** Time of the answer that ended the last outage. */
  #returnedAtMs = -Infinity
  #returnController = new AbortController()

  /** Aborts when the store answers again after an outage. */
  get returnSignal (): AbortSignal {
    return this.#returnController.signal
  }

  /** Adds a follower, which must then record how its calls end. */
  addFollower (follower: object): void {
    this.#followers.add(follower)
  }

  /** Records that a follower's call failed. */
  recordFailure (follower: object): void {
    this.#failing.add(follower)
    this.#isOut ||= this.#failing.size === this.#followers.size
  }

  /** Records that a follower's call was answered; it ends an outage. */
  recordAnswer (follower: object): void {
    this.#failing.delete(follower)
    if (!this.#isOut) return
    this.#isOut = false
    this.#returnedAtMs = readElapsedMs()
    const controller = this.#returnController
    this.#returnController = new AbortController()
    controller.abort()
  }

  /** Returns the time for which the store has been back for certain, in milliseconds, after a time of failures that began at `failingSinceMs`. */
  getBackForMs (failingSinceMs: number): number {
    return this.#returnedAtMs > failingSinceMs ? readElapsedMs() - this.#returnedAtMs : 0
  }
}
