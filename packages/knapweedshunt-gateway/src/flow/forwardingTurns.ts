import { MinHeap } from 'knapweedshunt-admission'

/** Bytes of a response that are forwarded in one turn. */
export const TURN_BYTES = 64 * 1024

/** Turns of all responses together in one round. */
const ROUND_TURNS = 4

/** Time left to other work between two rounds, as a multiple of the time that the round took, and its limits, in milliseconds. */
const REST_FACTOR = 1
const MIN_REST_MS = 1
const MAX_REST_MS = 50

/** Number of entries beyond twice the waiting responses at which the heap is cleared of those that wait no more. */
const MAX_STALE_ENTRIES = 64

interface Waiter {
  settle (): void
}

/**
 * Turns of all long responses of a VM, in rounds with rests in which other requests are served. Every other turn goes to
 * the response of which least is left, so that one of common size does not wait for those without an end, and the others
 * to the response that waits longest.
 */
export class ForwardingTurns {
  /** Turns that are left of the round. */
  #turnsLeft = ROUND_TURNS
  /** Waiting responses by the bytes left of each, with some that wait no more. */
  readonly #byRest = new MinHeap<Waiter>()
  /** Waiting responses in the order of their arrival. */
  readonly #byArrival = new Set<Waiter>()
  #isNextByArrival = false
  #isRoundScheduled = false

  /** Takes a turn if no response waits for one; returns whether it was taken. */
  tryTake (): boolean {
    if (this.#byArrival.size > 0 || this.#turnsLeft === 0) return false
    this.#turnsLeft--
    return true
  }

  /** Waits for a turn for a response of which `restBytes` are left, or until the signal aborts. */
  wait (restBytes: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const settle = () => {
        this.#byArrival.delete(waiter)
        signal.removeEventListener('abort', settle)
        resolve()
      }
      const waiter = { settle }
      signal.addEventListener('abort', settle)
      this.#byArrival.add(waiter)
      this.#byRest.push(restBytes, waiter)
      if (!this.#isRoundScheduled) this.#scheduleRound()
    })
  }

  #scheduleRound (): void {
    this.#isRoundScheduled = true
    const startedAtMs = performance.now()
    // By then what the turns allow has been read and written.
    setImmediate(() => setTimeout(() => this.#startRound(), computeRestMs(performance.now() - startedAtMs)))
  }

  #startRound (): void {
    this.#isRoundScheduled = false
    this.#turnsLeft = ROUND_TURNS
    while (this.#turnsLeft > 0 && this.#byArrival.size > 0) {
      this.#turnsLeft--
      this.#pickNext().settle()
    }
    if (this.#byRest.size > 2 * this.#byArrival.size + MAX_STALE_ENTRIES) this.#byRest.retain(waiter => this.#byArrival.has(waiter))
    if (this.#byArrival.size > 0) this.#scheduleRound()
  }

  /** There must be a waiting response. */
  #pickNext (): Waiter {
    this.#isNextByArrival = !this.#isNextByArrival
    const [first] = this.#byArrival
    if (this.#isNextByArrival) return first
    for (;;) {
      const { value } = this.#byRest.pop() ?? { value: first }
      if (this.#byArrival.has(value)) return value
    }
  }
}

/** Beyond the longest rest the process was held up by something else than the round. */
function computeRestMs (roundMs: number): number {
  return Math.min(MAX_REST_MS, Math.max(MIN_REST_MS, roundMs * REST_FACTOR))
}
