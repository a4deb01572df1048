import fs from 'node:fs'
import type { Socket } from 'node:net'

/** How a peer ended its side of a connection. */
export const CONNECTION_END = {
  /** It said that no more bytes follow. */
  closed: 'closed',
  /** It gave the connection up; bytes may be missing. */
  reset: 'reset'
} as const

/** One of {@link CONNECTION_END}. */
export type ConnectionEnd = typeof CONNECTION_END[keyof typeof CONNECTION_END]

const ONE_BYTE = Buffer.alloc(1)

/**
 * Tells how the peer ended its side of a connection. To be called once for a connection, while the socket's `end` is emitted.
 *
 * Node.js emits `end` without an error if a reset is polled together with the last bytes: libuv leaves out the read that would have failed. This does it.
 */
export function readConnectionEnd (socket: Socket): ConnectionEnd {
  const { fd } = (socket as Socket & { _handle?: { fd?: number } })._handle ?? {}
  try {
    return fs.readSync(fd as number, ONE_BYTE) === 0 ? CONNECTION_END.closed : CONNECTION_END.reset
  } catch {
    // The error of the connection. Without a descriptor its end is not known, and bytes may be missing.
    return CONNECTION_END.reset
  }
}
