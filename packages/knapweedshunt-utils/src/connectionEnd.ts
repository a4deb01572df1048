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

/** Buffer for the reads of paused connections; what is read is copied. */
const READ_BUFFER = Buffer.allocUnsafeSlow(16 * 1024)

interface SocketHandle {
  fd: number
  /** Returns an error number, 0 if there is none. */
  getpeername (address: object): number
}

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

/**
 * Tells how the peer ended its side of a connection that is paused; null if it did not, or if its end comes behind too many bytes. A reset shows behind any number of bytes.
 *
 * Bytes before the end are added to those that wait in the socket, up to `maxBytes` in all.
 */
export function probeConnectionEnd (socket: Socket, maxBytes: number): ConnectionEnd | null {
  const { _handle: handle } = socket as Socket & { _handle?: SocketHandle | null }
  if (handle == null) return null
  if (handle.getpeername({}) !== 0) return CONNECTION_END.reset
  try {
    while (socket.readableLength < maxBytes) {
      const count = fs.readSync(handle.fd, READ_BUFFER, 0, Math.min(READ_BUFFER.length, maxBytes - socket.readableLength), null)
      if (count === 0) return CONNECTION_END.closed
      socket.push(Buffer.from(READ_BUFFER.subarray(0, count)))
    }
    return null
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'EAGAIN' ? null : CONNECTION_END.reset
  }
}
