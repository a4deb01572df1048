import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

/** How a peer ended its side of a connection. */
export const CONNECTION_END = {
  /** It said that no more bytes follow. */
  closed: 'closed',
  /** It gave the connection up; bytes may be missing. */
  reset: 'reset'
} as const

/** One of {@link CONNECTION_END}. */
export type ConnectionEnd = typeof CONNECTION_END[keyof typeof CONNECTION_END]

/** Error code of a write after a reset that followed a regular close. */
const CODE_OF_LATE_RESET = 'EPIPE'

const NO_BYTES = Buffer.alloc(0)

/**
 * Tells how the peer ended its side of a connection. To be called while the socket's `end` is emitted, before this side is closed.
 *
 * Node.js emits `end` without an error if a reset is polled together with the last bytes. The kernel forgets the address of the
 * peer then, and its next call on the socket returns the error. Must not be used for sockets whose `remoteAddress` was read before, as Node.js caches it.
 */
export function readConnectionEnd (socket: Socket): ConnectionEnd {
  if (socket.remoteAddress !== undefined) return CONNECTION_END.closed
  // `Socket.write` refuses to write after `end`.
  Duplex.prototype.write.call(socket, NO_BYTES, 'utf8')
  const { code } = socket.errored as NodeJS.ErrnoException ?? {}
  return code === CODE_OF_LATE_RESET ? CONNECTION_END.closed : CONNECTION_END.reset
}
