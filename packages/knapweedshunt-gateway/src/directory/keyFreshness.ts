import type { TableFollower } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'

/** Part of the revocation bound reserved for the time between check and send and for the network latency to the endpoint, in milliseconds. */
const SEND_MARGIN_MS = 900

/** Longest time that a request waits for a refresh of the rows, in milliseconds; the store answers within a few. */
const REFRESH_TIMEOUT_MS = 300

const CHECK_INTERVAL_MS = 10

/** Computes the age of the rows up to which keys may be accepted, from the bound for revocations, in milliseconds. */
export function computeMaxKeyAgeMs (maxRevocationMs: number): number {
  return maxRevocationMs - SEND_MARGIN_MS
}

/** Checks whether the operator's rows are fresh enough for access keys to be accepted. */
export class KeyFreshness {
  readonly #follower: TableFollower
  readonly #getMaxRevocationMs: () => number
  #refresh: Promise<boolean> | null = null

  constructor (follower: TableFollower, getMaxRevocationMs: () => number) {
    this.#follower = follower
    this.#getMaxRevocationMs = getMaxRevocationMs
  }

  /** Age of the rows, in milliseconds; Infinity before the first read. */
  get ageMs (): number {
    return this.#follower.ageMs ?? Infinity
  }

  /** Whether access keys may be accepted now. */
  get isFresh (): boolean {
    return this.ageMs <= computeMaxKeyAgeMs(this.#getMaxRevocationMs())
  }

  /** Whether access keys may be accepted now, or probably after a refresh. */
  get isConfirmable (): boolean {
    return this.isFresh || this.#follower.isReachable
  }

  /** Refreshes the rows if they are too old; false when they remain so or the store does not answer. Concurrent callers share one refresh. */
  async ensureFresh (): Promise<boolean> {
    if (this.isFresh) return true
    if (!this.#follower.isReachable) return false
    this.#refresh ??= this.#waitForRefresh()
    return await this.#refresh
  }

  async #waitForRefresh (): Promise<boolean> {
    this.#follower.refresh()
    const refreshDeadlineAtMs = performance.now() + REFRESH_TIMEOUT_MS
    while (!this.isFresh && performance.now() < refreshDeadlineAtMs) await sleep(CHECK_INTERVAL_MS)
    this.#refresh = null
    return this.isFresh
  }
}
