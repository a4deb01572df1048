import type { PlainAnswer, StreamVersions, Usage } from 'knapweedshunt-attempts'
import type { CallerErrorInstance } from './callerError.ts'

/** Destination of a request's result: a caller's connection, or a stored record that outlives it. */
export interface CallerSink {
  /** Called before the first token with the versions of the endpoint that produces it, or that began the stream in an earlier response. */
  startStream? (versions: StreamVersions): void
  deliver (n: number, text: string): void
  deliverAnswer (answer: PlainAnswer): void
  finish (usage: Usage | null): void
  fail (error: CallerErrorInstance): void
  /** Resolves when the write buffer towards the caller has drained or `signal` has aborted; null when there is nothing to wait for. */
  waitDrain? (signal: AbortSignal): Promise<void> | null
}
