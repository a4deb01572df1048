import { sleep } from 'knapweedshunt-utils'

/** Longest time that counts as the cost of one turn, in milliseconds; beyond it the process was held up by something else. */
const MAX_TURN_MS = 50

/** Time left to other work after each turn, as a multiple of the turn. */
const REST_FACTOR = 3

/** Turns of all streams of a VM that send more events than {@link EventRate} allows: one after the other, with rests in which other requests are served. */
export class EventTurns {
  /** Monotonic time at which the last turn given is expected to end, in milliseconds. */
  #endsAtMs = 0

  /** Waits for the next turn of a stream whose last one took `turnMs`, or until the signal aborts. */
  async wait (turnMs: number, signal: AbortSignal): Promise<void> {
    const costMs = Math.min(turnMs, MAX_TURN_MS)
    const nowMs = performance.now()
    const startAtMs = Math.max(nowMs, this.#endsAtMs) + costMs * REST_FACTOR
    this.#endsAtMs = startAtMs + costMs
    await sleep(startAtMs - nowMs, signal)
  }
}
