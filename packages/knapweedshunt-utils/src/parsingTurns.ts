/** Time used after which a turn of the event loop ends, in milliseconds; a turn accepts one connection. */
const MAX_TURN_MS = 2

/** Time left to other work after a turn, as a multiple of the time that it took, and the longest one in milliseconds. */
const REST_FACTOR = 1
const MAX_REST_MS = 10

/** Time that may be used without rests, saved up at the same rate, in milliseconds. */
const MAX_SAVED_MS = 200

/** Longest time that counts as the cost of a slice, in milliseconds; beyond it the process was held up by something else. */
const MAX_SLICE_MS = 10

/** A connection that has read bytes which it may handle in its turn. */
export interface ParsingConnection {
  /** Time that it has used so far, in milliseconds. */
  readonly usedMs: number
  /** Handles the next slice, or more while it has not used `maxMs` milliseconds; returns the time that it used. */
  takeTurn (maxMs: number): number
}

/**
 * Turns of all connections whose bytes come in very small parts, and so take many times the processor time of others. Every
 * other turn goes to the connection that has used the least time, so that a short response does not wait for those without
 * an end, and the others to the one that waits longest.
 */
export class ParsingTurns {
  /** Time that may be used without rests, in milliseconds. */
  #savedMs = MAX_SAVED_MS
  #savedAtMs = performance.now()
  /** Time that the last turn took, in milliseconds. */
  #lastTurnMs = 0
  /** Connections in the order of their arrival. */
  readonly #waiting = new Set<ParsingConnection>()
  #isNextByArrival = false
  #isScheduled = false

  /** Number of connections that wait. */
  get waitingCount (): number {
    return this.#waiting.size
  }

  /** Adds a connection that waits for a turn, unless it does already. */
  enqueue (connection: ParsingConnection): void {
    this.#waiting.add(connection)
    this.#schedule()
  }

  /** Waits for a turn that is expected to take so long, of a connection that has used so much time so far, both in milliseconds; or until the signal aborts. */
  wait (usedMs: number, expectedMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const settle = () => {
        this.remove(connection)
        signal.removeEventListener('abort', settle)
        resolve()
      }
      const takeTurn = () => {
        settle()
        return expectedMs
      }
      const connection = { usedMs, takeTurn }
      signal.addEventListener('abort', settle)
      this.enqueue(connection)
    })
  }

  /** Removes a connection that was closed. */
  remove (connection: ParsingConnection): void {
    this.#waiting.delete(connection)
  }

  #schedule (): void {
    if (this.#isScheduled || this.#waiting.size === 0) return
    this.#isScheduled = true
    const run = () => this.#runTurn()
    if (this.#savedMs > 0) setImmediate(run)
    else setTimeout(run, Math.min(MAX_REST_MS, Math.ceil(this.#lastTurnMs * REST_FACTOR)))
  }

  /** Whatever was used before, some connections go on: else fresh ones could keep others from it for ever. */
  #runTurn (): void {
    this.#lastTurnMs = 0
    while (this.#waiting.size > 0 && this.#lastTurnMs < MAX_TURN_MS) {
      const connection = this.#pickNext()
      this.#waiting.delete(connection)
      const maxMs = this.#waiting.size === 0 ? MAX_TURN_MS - this.#lastTurnMs : 0
      this.#lastTurnMs += Math.min(MAX_SLICE_MS, connection.takeTurn(maxMs))
    }
    const nowMs = performance.now()
    const refilledMs = Math.max(0, nowMs - this.#savedAtMs) / (1 + REST_FACTOR)
    this.#savedAtMs = nowMs
    this.#savedMs = Math.max(0, Math.min(MAX_SAVED_MS, this.#savedMs + refilledMs) - this.#lastTurnMs)
    this.#isScheduled = false
    this.#schedule()
  }

  /** There must be a waiting connection. */
  #pickNext (): ParsingConnection {
    this.#isNextByArrival = !this.#isNextByArrival
    const [first] = this.#waiting
    if (this.#isNextByArrival) return first
    let least = first
    for (const connection of this.#waiting) if (connection.usedMs < least.usedMs) least = connection
    return least
  }
}

/** Turns of all connections of the process, which has one event loop. */
export const PROCESS_TURNS = new ParsingTurns()
