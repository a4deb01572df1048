import type { ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import { ResponseMalformedError } from './httpErrors.ts'

/** Largest number of bytes between two parts of a response, in bytes. Node.js limits heads, chunk extensions and trailers, but neither line ends before a head nor the digits of a chunk size. */
const MAX_FRAMING_BYTES = 64 * 1024

/** Calls `onTooLong` once if more than {@link MAX_FRAMING_BYTES} bytes of a response arrive without a head or any byte of the body among them. */
export function watchFraming (request: ClientRequest, onTooLong: (error: Error) => void): void {
  let framingBytes = 0
  let hasAdvanced = false
  let stop = () => {}
  const recordAdvance = () => { hasAdvanced = true }
  const watchSocket = (socket: Socket) => {
    // After the listener of `node:http`, which parses the chunk.
    const handleChunk = (chunk: Buffer) => {
      framingBytes = hasAdvanced ? 0 : framingBytes + chunk.length
      hasAdvanced = false
      if (framingBytes <= MAX_FRAMING_BYTES) return
      stop()
      onTooLong(new ResponseMalformedError(`more than ${MAX_FRAMING_BYTES} bytes of a response without a head or a part of the body`))
    }
    stop = () => socket.removeListener('data', handleChunk)
    socket.on('data', handleChunk)
  }
  request.once('socket', watchSocket)
  request.on('information', recordAdvance)
  request.once('response', response => {
    recordAdvance()
    // A listener for `data` would read the body.
    const push = response.push
    response.push = (chunk, encoding) => {
      recordAdvance()
      if (chunk === null) stop()
      return push.call(response, chunk, encoding)
    }
  })
  request.once('close', () => stop())
}
