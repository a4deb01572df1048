import type { AttemptFailureReason } from 'knapweedshunt-attempts'
import { UnusableStatusError } from 'knapweedshunt-utils'
import ModernError from 'modern-errors'

/** Thrown when a response of an endpoint is malformed. */
export const EndpointError = ModernError.subclass('EndpointError')

/** Classifies why an attempt failed by the error of its connection. A connection that could not be opened should have carried no byte, but only a refusal proves that; see {@link isConnectionRefused}. */
export function classifyFailure (error: unknown): AttemptFailureReason {
  if (error instanceof EndpointError || error instanceof UnusableStatusError) return 'malformed'
  return (error as NodeJS.ErrnoException).syscall === 'connect' ? 'unreached' : 'reset'
}

/** Whether the connection was refused, which proves that no byte of the request was sent. */
export function isConnectionRefused (error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED'
}
