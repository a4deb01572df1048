import type { IncomingMessage } from 'node:http'
import { BodyBuffer } from 'knapweedshunt-utils'
import { createCallerError } from './callerError.ts'
import type { CallerErrorCode } from './callerError.ts'

/** Reads a complete body as UTF-8 text. Rejects with CallerError when it is too large or ends early; data after an error is read and discarded, so that the response can still be sent. */
export function readCallerBody (message: IncomingMessage, maxBytes: number): Promise<string> {
  const tooLargeMessage = `The body is over ${maxBytes} bytes: send a smaller one.`
  return new Promise((resolve, reject) => {
    let buffer = new BodyBuffer()
    let size = 0
    const fail = (code: CallerErrorCode, text: string) => {
      buffer = new BodyBuffer()
      reject(createCallerError(code, text))
    }
    if (Number(message.headers['content-length'] ?? 0) > maxBytes) size = Infinity
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= maxBytes) buffer.add(chunk)
      else fail('body_too_large', tooLargeMessage)
    })
    message.once('end', () => resolve(buffer.join().toString('utf8')))
    message.once('close', () => {
      if (!message.complete) fail('bad_request', 'The body ended early: send all of it.')
    })
    message.once('error', () => {})
  })
}
