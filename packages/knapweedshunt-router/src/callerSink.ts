import type { Usage, PlainAnswer } from 'knapweedshunt-attempts'
import type { CallerErrorInstance } from './callerError.ts'

/** Where a request's result goes: a caller's connection, or a record that outlives it. */
export interface CallerSink {
  deliver (n: number, text: string): void
  deliverAnswer (answer: PlainAnswer): void
  finish (usage: Usage | null): void
  fail (error: CallerErrorInstance): void
  /** Resolves when the caller has taken what was delivered, or `signal` aborted; null when there is nothing to wait for. */
  waitDrain? (signal: AbortSignal): Promise<void> | null
}
