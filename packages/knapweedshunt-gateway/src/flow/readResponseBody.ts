import type http from 'node:http'
import { BodyBuffer } from 'knapweedshunt-utils'
import type { BodyShare } from 'knapweedshunt-utils'

/** Responses up to this size, in bytes, are buffered completely before they are forwarded, so that the request can be retried if the response is cut off. */
const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

/** Body of an endpoint's response, as far as it was buffered. */
export type ResponseBody =
  | { type: 'buffered', bytes: Buffer }
  /** First chunks of a body above the buffer limit, or for which there is no memory; the response is paused. */
  | { type: 'large', firstChunks: Buffer[] }
  | { type: 'cut', reason: string }

/** Reads the body of a response, or the first chunks of one above the buffer limit or for which there is no memory. */
export function readResponseBody (response: http.IncomingMessage, memory: BodyShare): Promise<ResponseBody> {
  if (response.errored !== null) return Promise.resolve({ type: 'cut', reason: response.errored.message })
  return new Promise(resolve => {
    const buffer = new BodyBuffer()
    // A failure of an earlier attempt may still be kept.
    const { keptBytes } = memory
    const settle = (body: ResponseBody) => {
      response.removeListener('data', onData)
      response.removeListener('end', onEnd)
      response.removeListener('close', onClose)
      resolve(body)
    }
    const onEnd = () => settle(response.complete ? { type: 'buffered', bytes: buffer.join() } : { type: 'cut', reason: 'ended early' })
    const onClose = () => settle({ type: 'cut', reason: response.errored?.message ?? 'connection closed' })
    const onData = (chunk: Buffer) => {
      buffer.add(chunk)
      if (buffer.length <= MAX_BUFFERED_RESPONSE_BYTES && memory.tryResize(keptBytes + buffer.capacity)) return
      response.pause()
      settle({ type: 'large', firstChunks: buffer.list() })
    }
    response.on('data', onData)
    response.once('end', onEnd)
    response.once('close', onClose)
  })
}
