import type { IncomingMessage } from 'node:http'
import { readConnectionEnd } from './connectionEnd.ts'
import type { ConnectionEnd } from './connectionEnd.ts'

const CHUNKED_PATTERN = /(^|,)\s*chunked\s*$/i

/** Whether only the end of its connection delimits the body of a response. */
export function isEndDelimited ({ headers }: IncomingMessage): boolean {
  const encoding = headers['transfer-encoding']
  return encoding === undefined ? headers['content-length'] === undefined : !CHUNKED_PATTERN.test(encoding)
}

/** Calls `onEnd` with how the connection ended if only its end delimits the body of a response, before the body ends. */
export function watchBodyEnd (response: IncomingMessage, onEnd: (end: ConnectionEnd) => void): void {
  if (!isEndDelimited(response)) return
  const { socket } = response
  const handleEnd = () => {
    // A response without a body by its status or method is complete before.
    if (!response.complete) onEnd(readConnectionEnd(socket))
  }
  // Before the listener of `node:http`, which ends the body.
  socket.prependOnceListener('end', handleEnd)
  response.once('close', () => socket.removeListener('end', handleEnd))
}
