import type { AttemptId, EndpointName, Incarnation } from 'knapweedshunt-types'
import type { EndpointEntry, EndpointTable } from './endpointTable.ts'

/** An attempt with an open connection. */
export interface RunningAttempt {
  attempt: AttemptId
  endpoint: EndpointName
  /** Incarnation from the response headers; empty until they arrive. */
  incarnation: Incarnation
  startedAtMs: number
  /** Whether the first token was received. */
  hasFirstToken: boolean
  /** Called when membership reports that the endpoint died or restarted. */
  handleEndpointLoss (): void
}

/** Attempts of this router that are in flight. */
export class RunningAttempts {
  readonly #attempts = new Map<AttemptId, RunningAttempt>()

  /** Number of attempts in flight. */
  get size (): number {
    return this.#attempts.size
  }

  /** Number of attempts in flight on an endpoint. */
  countOn (endpoint: EndpointName): number {
    return [...this.#attempts.values()].filter(running => running.endpoint === endpoint).length
  }

  /** Adds a started attempt. */
  add (running: RunningAttempt): void {
    this.#attempts.set(running.attempt, running)
  }

  /** Finds an attempt by ID. */
  find (attempt: AttemptId): RunningAttempt | undefined {
    return this.#attempts.get(attempt)
  }

  /** Removes a finished attempt. */
  remove (attempt: AttemptId): void {
    this.#attempts.delete(attempt)
  }

  /** Ends the attempts on endpoints that died or restarted as another incarnation since the previous table. A snapshot that is older than the response headers of an attempt does not end it. */
  applyTable (table: EndpointTable, previousTable: EndpointTable): void {
    for (const running of [...this.#attempts.values()]) {
      const entry = table.find(running.endpoint)
      if (entry !== undefined && isLost(running, entry, previousTable.find(running.endpoint))) running.handleEndpointLoss()
    }
  }
}

function isLost (running: RunningAttempt, entry: EndpointEntry, previousEntry: EndpointEntry | undefined): boolean {
  const isSameIncarnation = running.incarnation === '' || running.incarnation === entry.incarnation
  if (entry.state === 'dead') return isSameIncarnation
  return !isSameIncarnation && previousEntry !== undefined && previousEntry.incarnation === running.incarnation
}
