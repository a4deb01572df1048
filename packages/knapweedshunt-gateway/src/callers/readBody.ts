import type http from 'node:http'
import { pipeline } from 'node:stream'
import type { Readable } from 'node:stream'
import type { RequestBody } from '../endpoints/attempt.ts'
import { createCallerError } from '../shared/callerError.ts'
import { BoundedBody } from './boundedBody.ts'
import type { BodyLimits } from './boundedBody.ts'

/** Bodies up to this size are read whole before they are sent, so that they can be sent again; in bytes. */
export const WHOLE_BODY_BYTES = 192 * 1024

/** Reads a request's body: whole up to {@link WHOLE_BODY_BYTES}, else its beginning with the rest still to come. Throws CallerError. */
export async function readRequestBody (message: http.IncomingMessage, limits: BodyLimits): Promise<RequestBody> {
  const { 'content-length': length, 'transfer-encoding': coding } = message.headers
  if (length === undefined && coding === undefined) return { type: 'none' }
  if (Number(length ?? 0) > limits.maxBytes) throw createCallerError(413, 'body_too_large', `The body is over ${limits.maxBytes} bytes.`, { closes: true })
  return await readStart(message, limits)
}

function readStart (message: http.IncomingMessage, limits: BodyLimits): Promise<RequestBody> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let bytes = 0
    let timer: NodeJS.Timeout
    const settle = (step: () => void) => {
      clearTimeout(timer)
      message.removeListener('data', onData)
      message.removeListener('end', onEnd)
      message.removeListener('close', onGone)
      step()
    }
    const wait = () => {
      clearTimeout(timer)
      timer = setTimeout(() => settle(() => reject(createCallerError(408, 'body_too_slow', `The body was silent for ${limits.idleMs} ms.`, { closes: true }))), limits.idleMs)
    }
    const onEnd = () => settle(() => resolve({ type: 'whole', bytes: Buffer.concat(chunks) }))
    const onGone = () => settle(() => reject(createCallerError(400, 'caller_left', 'The caller left before the end of the body.', { closes: true })))
    const onData = (chunk: Buffer) => {
      bytes += chunk.length
      chunks.push(chunk)
      if (bytes > limits.maxBytes) return settle(() => reject(createCallerError(413, 'body_too_large', `The body is over ${limits.maxBytes} bytes.`, { closes: true })))
      if (bytes <= WHOLE_BODY_BYTES) return wait()
      message.pause()
      settle(() => resolve({ type: 'flowing', first: chunks, rest: boundRest(message, limits, bytes) }))
    }
    message.on('data', onData)
    message.once('end', onEnd)
    message.once('close', onGone)
    wait()
  })
}

/** The rest ends in an error when it grows over its bound, falls silent or is cut. */
function boundRest (message: http.IncomingMessage, limits: BodyLimits, readBytes: number): Readable {
  const rest = new BoundedBody(limits, readBytes)
  pipeline(message, rest, () => {}) // Errors reach the reader of `rest`.
  return rest
}
