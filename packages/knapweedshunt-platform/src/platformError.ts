import ModernError from 'modern-errors'

/** Base class of the errors of platform calls; thrown itself for an unexpected failure. */
export const PlatformError = ModernError.subclass('PlatformError')

/** The platform could not be reached, timed out or failed, or its answer was lost; a write may have taken effect. */
export const PlatformUnreachableError = PlatformError.subclass('PlatformUnreachableError')

/** The platform rejected the call as malformed; a retry of the same call fails again. */
export const PlatformRefusedError = PlatformError.subclass('PlatformRefusedError')

/** The call was not sent because of the rate limit or an open circuit breaker: it has not taken effect and will not. */
export const PlatformUnsentError = PlatformUnreachableError.subclass('PlatformUnsentError')
