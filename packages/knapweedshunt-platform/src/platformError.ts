import ModernError from 'modern-errors'

/** A platform call failed. */
export const PlatformError = ModernError.subclass('PlatformError')

/** The platform was not reached, timed out, or its answer was lost; a write may have taken effect. */
export const PlatformUnreachableError = PlatformError.subclass('PlatformUnreachableError')

/** The platform refused the call as malformed. */
export const PlatformRefusedError = PlatformError.subclass('PlatformRefusedError')

/** The call never left this VM (no budget, or the breaker is open): nothing took effect and nothing will. */
export const PlatformUnsentError = PlatformUnreachableError.subclass('PlatformUnsentError')
