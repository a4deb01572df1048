import { ParsingTurns } from 'knapweedshunt-utils'
import type { ParsingConnection } from 'knapweedshunt-utils'

/** Events of a stream per second, and at once, that it may have without a turn: more than an engine generates. */
const FREE_EVENTS_PER_S = 200
const FREE_EVENTS_AT_ONCE = 1_000

const MS_PER_SECOND = 1_000

/** Turns of all streams of the process, which has one event loop. */
const PROCESS_TURNS = new ParsingTurns()

/** Work of a stream that waits for a turn. */
interface WaitingWork { work: () => void, resolve: () => void, reject: (error: unknown) => void }

/** Paces the events of one stream: what comes faster than an engine generates tokens is parsed in turns with all other such streams. */
export class EventPacer implements ParsingConnection {
  readonly #turns: ParsingTurns
  #usedMs = 0
  #freeEvents = FREE_EVENTS_AT_ONCE
  #refilledAtMs = performance.now()
  #waiting: WaitingWork | null = null
  #isInTurn = false

  constructor (turns: ParsingTurns = PROCESS_TURNS) {
    this.#turns = turns
  }

  /** Time that turns of this stream have taken so far, in milliseconds. */
  get usedMs (): number {
    return this.#usedMs
  }

  /** Records an event of the stream; those of a turn are not free. */
  recordEvent (): void {
    if (!this.#isInTurn) this.#freeEvents--
  }

  /** Runs work that parses a part of the stream, now or in a turn; resolves when it has run, and rejects with its error. One at a time. */
  run (work: () => void): Promise<void> | null {
    this.#refill()
    if (this.#freeEvents > 0) {
      work()
      return null
    }
    return new Promise((resolve, reject) => {
      this.#waiting = { work, resolve, reject }
      this.#turns.enqueue(this)
    })
  }

  /** Called by {@link ParsingTurns}. */
  takeTurn (): void {
    const waiting = this.#waiting
    if (waiting === null) return
    this.#waiting = null
    const startedAtMs = performance.now()
    this.#isInTurn = true
    try {
      waiting.work()
      waiting.resolve()
    } catch (error) {
      waiting.reject(error)
    }
    this.#isInTurn = false
    const usedMs = performance.now() - startedAtMs
    this.#usedMs += usedMs
    this.#turns.recordUsed(usedMs)
  }

  #refill (): void {
    const nowMs = performance.now()
    const refilled = (nowMs - this.#refilledAtMs) * FREE_EVENTS_PER_S / MS_PER_SECOND
    this.#freeEvents = Math.min(FREE_EVENTS_AT_ONCE, this.#freeEvents + refilled)
    this.#refilledAtMs = nowMs
  }
}
