import type { AttemptFailureReason } from 'knapweedshunt-attempts'
import ModernError from 'modern-errors'

/** What an endpoint sent cannot be used. */
export const EndpointError = ModernError.subclass('EndpointError')

/** Names how an attempt broke from the error of its connection. A connection that failed to open carried no byte, but only a refusal proves it. */
export function nameBreak (error: unknown): AttemptFailureReason {
  if (error instanceof EndpointError) return 'malformed'
  return (error as NodeJS.ErrnoException).syscall === 'connect' ? 'unreached' : 'reset'
}

/** A connection that was refused carried no byte of the request. */
export function isRefusal (error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED'
}
