import { rankVms } from 'knapweedshunt-membership'
import type { VmMembership } from 'knapweedshunt-membership'
import type { Rng } from 'knapweedshunt-utils'
import type { NodeOptions } from './nodeOptions.ts'

/** Platform poll that is due; `withList` also requests the VM list. */
export interface PlatformPoll {
  withList: boolean
}

const JITTER_RATIO = 0.2

/** Time after which a poll whose end was not reported no longer delays the next one. */
const POLL_TIMEOUT_MS = 6_000

/** Schedules this VM's polls of the platform: always while it starts, afterwards only while it ranks among the `platformPollerCount` pollers. Performs no I/O. */
export class PlatformPollScheduler {
  readonly #options: NodeOptions
  readonly #rng: Rng
  #nextPollAtMs = 0
  #nextListAtMs = 0
  #pollStartedAtMs: number | null = null

  constructor (options: NodeOptions, rng: Rng) {
    this.#options = options
    this.#rng = rng
  }

  /** Marks the poll that is due now as started and returns it; null when none is due. */
  startDuePoll (vms: VmMembership, isStarting: boolean): PlatformPoll | null {
    const now = performance.now()
    const isInFlight = this.#pollStartedAtMs !== null && now - this.#pollStartedAtMs < POLL_TIMEOUT_MS
    if (isInFlight || now < this.#nextPollAtMs || !(isStarting || this.#isPoller(vms))) return null
    const withList = isStarting || now >= this.#nextListAtMs
    if (withList) this.#nextListAtMs = now + this.#applyJitter(this.#options.vmListPollMs)
    this.#pollStartedAtMs = now
    this.#nextPollAtMs = now + this.#applyJitter(this.#options.platformPollMs)
    return { withList }
  }

  /** Makes the next poll due at once. */
  schedulePollNow (): void {
    this.#nextPollAtMs = 0
  }

  /** Handles the end of a poll; after an unanswered one the next waits a full interval. */
  handlePollEnd (isAnswered: boolean): void {
    this.#pollStartedAtMs = null
    if (!isAnswered) this.#nextPollAtMs = performance.now() + this.#applyJitter(this.#options.platformPollMs)
  }

  /** Whether this VM may poll now. A VM that the platform does not answer gives up its rank to others, but keeps polling so that it notices the recovery. */
  #isPoller (vms: VmMembership): boolean {
    const { vm } = vms.self.view
    if (!vms.self.isPlatformReachable) return this.#scheduleNextRetry()
    return rankVms('platform', vms.listPlatformPollers()).indexOf(vm) < this.#options.platformPollerCount
  }

  #scheduleNextRetry (): boolean {
    this.#nextPollAtMs = performance.now() + this.#applyJitter(this.#options.platformRetryMs - this.#options.platformPollMs)
    return true
  }

  #applyJitter (ms: number): number {
    return ms * (1 - JITTER_RATIO + 2 * JITTER_RATIO * this.#rng.drawFloat())
  }
}
