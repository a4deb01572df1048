import type { AttemptId, EndpointName, Incarnation } from 'knapweedshunt-types'
import type { EndpointEntry, EndpointTable } from './endpointTable.ts'

/** An attempt whose connection is open. */
export interface RunningAttempt {
  attempt: AttemptId
  endpoint: EndpointName
  /** As the answer's head named it; empty before. */
  incarnation: Incarnation
  startedAtMs: number
  /** Its first token came. */
  hasToken: boolean
  /** Told when membership knows that the endpoint is gone. */
  lose (): void
}

/** Attempts of this router by endpoint. */
export class RunningAttempts {
  readonly #attempts = new Map<AttemptId, RunningAttempt>()

  /** Attempts in flight. */
  get size (): number {
    return this.#attempts.size
  }

  /** An attempt started. */
  add (running: RunningAttempt): void {
    this.#attempts.set(running.attempt, running)
  }

  /** An attempt by id. */
  find (attempt: AttemptId): RunningAttempt | undefined {
    return this.#attempts.get(attempt)
  }

  /** An attempt is over. */
  release (attempt: AttemptId): void {
    this.#attempts.delete(attempt)
  }

  /** Ends the attempts on endpoints that died, or came back as another incarnation, since the last table. A snapshot that lags behind the answer's head ends nothing. */
  takeTable (table: EndpointTable, last: EndpointTable): void {
    for (const running of [...this.#attempts.values()]) {
      const entry = table.find(running.endpoint)
      if (entry !== undefined && isLost(running, entry, last.find(running.endpoint))) running.lose()
    }
  }
}

function isLost (running: RunningAttempt, entry: EndpointEntry, last: EndpointEntry | undefined): boolean {
  const isSame = running.incarnation === '' || running.incarnation === entry.incarnation
  if (entry.state === 'dead') return isSame
  return !isSame && last !== undefined && last.incarnation === running.incarnation
}
