import type http from 'node:http'
import { getResponseAhead } from './responseAhead.ts'

/** Limits for reading the rest of a body that nobody needs: above them its connection is closed. Chunks that come fast are mostly longer than the mean given. */
const MAX_DISCARDED_BYTES = 1024 * 1024
const MEAN_CHUNK_BYTES = 1_024
const MAX_DISCARD_MS = 2_000

/** Closes the connection of a body and drops what was read of it with the last bytes, which may be very many chunks. */
export function ignoreBody (request: http.IncomingMessage): void {
  request.push = () => true
  request.socket.destroy()
}

/** Reads the rest of a request's body, so that its connection can be used again; closes the connection if the rest is longer than `maxBytes`, or slow once no other request on it waits for its answer. */
export function discardBody (request: http.IncomingMessage, maxBytes = MAX_DISCARDED_BYTES): void {
  if (request.complete || request.destroyed) return
  let remainingBytes = maxBytes
  let remainingChunks = maxBytes / MEAN_CHUNK_BYTES
  let timer: NodeJS.Timeout
  const startTimer = () => { timer = setTimeout(closeOrWait, MAX_DISCARD_MS) }
  const closeOrWait = () => {
    const responseAhead = getResponseAhead(request)
    if (responseAhead === undefined) request.destroy()
    else responseAhead.once('close', () => { if (!request.complete && !request.destroyed) startTimer() })
  }
  startTimer()
  const stop = () => clearTimeout(timer)
  request.once('end', stop).once('close', stop)
  request.on('data', (chunk: Buffer) => {
    remainingBytes -= chunk.length
    remainingChunks--
    if (remainingBytes >= 0 && remainingChunks >= 0) return
    ignoreBody(request)
  })
  request.resume()
}
