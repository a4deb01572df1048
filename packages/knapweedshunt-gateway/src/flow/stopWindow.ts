import type { RunTimes } from 'knapweedshunt-admission'
import type { RequestPlan } from './requestPlan.ts'

/** Time that a request may take beyond the longest run time known of its route, in milliseconds. */
const RUN_TIME_MARGIN_MS = 250

/** The time that requests have to end once this VM is stopping. */
export class StopWindow {
  readonly #runTimes: Pick<RunTimes, 'findLongestMs'>
  /** Monotonic time at which the requests that still run are ended; infinite while the VM is not stopping. */
  #endsAtMs = Infinity

  constructor (runTimes: Pick<RunTimes, 'findLongestMs'>) {
    this.#runTimes = runTimes
  }

  /** Sets the monotonic time at which the requests that still run are ended. */
  setEnd (endsAtMs: number): void {
    this.#endsAtMs = endsAtMs
  }

  /** Whether a request that is sent now ends before the VM does. One of a route of which nothing is known may take until its deadline. */
  canEnd ({ route, deadlineAtMs }: Pick<RequestPlan, 'route' | 'deadlineAtMs'>): boolean {
    if (deadlineAtMs <= this.#endsAtMs) return true
    const longestMs = this.#runTimes.findLongestMs(route.name)
    return longestMs !== null && performance.now() + longestMs + RUN_TIME_MARGIN_MS <= this.#endsAtMs
  }
}
