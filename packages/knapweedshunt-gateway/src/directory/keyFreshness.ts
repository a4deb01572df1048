import type { TableFollower } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'

/** Part of the revocation bound that is kept for the way to the endpoint and for time spent between the look and the send, in milliseconds. */
const MARGIN_MS = 900

/** Longest time that a request waits for the rows to be read anew, in milliseconds; an answer of the store takes a few. */
const REFRESH_MS = 300

const LOOK_MS = 10

/** Says whether the operator's rows are current enough for keys to be used. */
export class KeyFreshness {
  readonly #follower: TableFollower
  readonly #readRevokeMs: () => number
  #refresh: Promise<boolean> | null = null

  constructor (follower: TableFollower, readRevokeMs: () => number) {
    this.#follower = follower
    this.#readRevokeMs = readRevokeMs
  }

  /** Age of the rows, in milliseconds; Infinity before the first. */
  get ageMs (): number {
    return this.#follower.ageMs ?? Infinity
  }

  /** Whether keys may be used now. */
  get isFresh (): boolean {
    return this.ageMs <= this.#readRevokeMs() - MARGIN_MS
  }

  /** Reads the rows anew if they are too old; false when they stay so. */
  async check (): Promise<boolean> {
    if (this.isFresh) return true
    if (!this.#follower.isAnswering) return false
    this.#refresh ??= this.#readAnew()
    return await this.#refresh
  }

  async #readAnew (): Promise<boolean> {
    this.#follower.refresh()
    const untilMs = performance.now() + REFRESH_MS
    while (!this.isFresh && performance.now() < untilMs) await sleep(LOOK_MS)
    this.#refresh = null
    return this.isFresh
  }
}
