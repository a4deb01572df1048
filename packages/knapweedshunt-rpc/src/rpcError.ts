import ModernError from 'modern-errors'

/** A call to a peer failed: the peer was unreachable, rejected the call, timed out or responded with an error. */
export const RpcError = ModernError.subclass('RpcError')
