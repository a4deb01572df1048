import ModernError from 'modern-errors'

/** A peer call failed: not reached, refused, timed out, or answered with an error. */
export const RpcError = ModernError.subclass('RpcError')
