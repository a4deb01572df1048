/** Share of the time that connections may use to handle very small parts, and the most that they may save up, in milliseconds. */
const TIME_SHARE = 0.25
const MAX_SAVED_MS = 200

/** Time used after which a turn of the event loop ends, in milliseconds; a turn accepts one connection. */
const MAX_TURN_MS = 2

/** Longest time that counts as the cost of a slice, in milliseconds; beyond it the process was held up by something else. */
const MAX_SLICE_MS = 10

/** A connection that has read bytes which it may handle in its turn. */
export interface ParsingConnection {
  /** Time that it has used so far, in milliseconds. */
  readonly usedMs: number
  /** Handles the next bytes, and records the time that it takes. */
  takeTurn (): void
}

/**
 * Turns of all connections whose bytes come in very small parts, and so take many times the processor time of others. Every
 * other turn goes to the connection that has used the least time, so that a short response does not wait for those without
 * an end, and the others to the one that waits longest.
 */
export class ParsingTurns {
  /** Time that may be used now, in milliseconds; negative if more was used. */
  #savedMs = MAX_SAVED_MS
  #savedAtMs = performance.now()
  /** Connections in the order of their arrival. */
  readonly #waiting = new Set<ParsingConnection>()
  #isNextByArrival = false
  #isScheduled = false
  /** Time used in this turn of the event loop, in milliseconds. */
  #turnUsedMs = 0

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
        this.recordUsed(expectedMs)
        settle()
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

  /** Records time that a connection has used, in milliseconds, in a turn or without one. */
  recordUsed (usedMs: number): void {
    const countedMs = Math.min(MAX_SLICE_MS, usedMs)
    this.#refill()
    this.#savedMs -= countedMs
    this.#turnUsedMs += countedMs
  }

  #schedule (): void {
    if (this.#isScheduled || this.#waiting.size === 0) return
    this.#isScheduled = true
    this.#refill()
    const run = () => this.#runTurns()
    if (this.#savedMs > 0) setImmediate(run)
    else setTimeout(run, Math.ceil(-this.#savedMs / TIME_SHARE))
  }

  #runTurns (): void {
    this.#isScheduled = false
    this.#turnUsedMs = 0
    this.#refill()
    while (this.#waiting.size > 0 && this.#savedMs > 0 && this.#turnUsedMs < MAX_TURN_MS) {
      const connection = this.#pickNext()
      this.#waiting.delete(connection)
      connection.takeTurn()
    }
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

  #refill (): void {
    const nowMs = performance.now()
    this.#savedMs = Math.min(MAX_SAVED_MS, this.#savedMs + Math.max(0, nowMs - this.#savedAtMs) * TIME_SHARE)
    this.#savedAtMs = nowMs
  }
}

/** Turns of all connections of the process, which has one event loop. */
export const PROCESS_TURNS = new ParsingTurns()
