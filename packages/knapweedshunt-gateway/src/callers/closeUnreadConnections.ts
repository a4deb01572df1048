import type http from 'node:http'
import type { Socket } from 'node:net'

/** Time after which a connection is closed whose caller takes nothing of what was written, in milliseconds. */
export const DEFAULT_UNREAD_TIMEOUT_MS = 60_000

/** Number of checks within this time; they are what counts, so that a process that was held up does not find all connections stalled. */
const CHECK_COUNT = 4

/** Options of {@link closeUnreadConnections}. */
export interface UnreadOptions {
  timeoutMs: number
  /** Called before a connection is closed. */
  onClosed (): void
}

interface Progress {
  takenBytes: number
  queuedBytes: number
  stalledChecks: number
}

/** Has a server close connections on which bytes wait and none were taken for a while. */
export function closeUnreadConnections (server: http.Server, { timeoutMs, onClosed }: UnreadOptions): void {
  const connections = new Map<Socket, Progress>()
  const checkConnections = () => {
    for (const [socket, progress] of connections) {
      const takenBytes = socket.bytesWritten - socket.writableLength
      const queuedBytes = countQueuedBytes(socket)
      const hasTaken = takenBytes > progress.takenBytes || queuedBytes < progress.queuedBytes
      progress.stalledChecks = socket.writableLength === 0 || hasTaken ? 0 : progress.stalledChecks + 1
      Object.assign(progress, { takenBytes, queuedBytes })
      if (progress.stalledChecks < CHECK_COUNT) continue
      connections.delete(socket)
      onClosed()
      socket.destroy()
    }
  }
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { takenBytes: 0, queuedBytes: 0, stalledChecks: 0 })
    socket.once('close', () => connections.delete(socket))
  })
  server.on('listening', () => {
    const timer = setInterval(checkConnections, timeoutMs / CHECK_COUNT).unref()
    server.once('close', () => clearInterval(timer))
  })
}

/** Bytes of the write under way that the system has not taken; the socket counts a write only once it is whole. */
function countQueuedBytes (socket: Socket): number {
  return (socket as Socket & { _handle?: { writeQueueSize: number } | null })._handle?.writeQueueSize ?? 0
}
