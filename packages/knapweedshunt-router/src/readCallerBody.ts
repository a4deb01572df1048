import type { IncomingMessage } from 'node:http'
import { createCallerError } from './callerError.ts'
import type { CallerErrorCode } from './callerError.ts'

/** Reads a complete body as UTF-8 text. Rejects with CallerError when it is too large or ends early; data after an error is read and discarded, so that the response can still be sent. */
export function readCallerBody (message: IncomingMessage, maxBytes: number): Promise<string> {
  const tooLargeMessage = `The body is over ${maxBytes} bytes: send a smaller one.`
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const fail = (code: CallerErrorCode, text: string) => {
      chunks.length = 0
      reject(createCallerError(code, text))
    }
    if (Number(message.headers['content-length'] ?? 0) > maxBytes) size = Infinity
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= maxBytes) chunks.push(chunk)
      else fail('body_too_large', tooLargeMessage)
    })
    message.once('end', () => resolve(Buffer.concat(chunks).toString('utf8')))
    message.once('close', () => {
      if (!message.complete) fail('bad_request', 'The body ended early: send all of it.')
    })
    message.once('error', () => {})
  })
}
