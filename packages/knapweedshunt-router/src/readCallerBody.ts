import type { IncomingMessage } from 'node:http'
import { createCallerError } from './callerError.ts'
import type { CallerCode } from './callerError.ts'

/** Reads a whole body as UTF-8 text. Throws CallerError when it is too large or ends early; what follows an error is read and dropped, so that the answer can be sent. */
export function readCallerBody (message: IncomingMessage, maxBytes: number): Promise<string> {
  const tooLarge = `The body is over ${maxBytes} bytes: send a smaller one.`
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const fail = (code: CallerCode, text: string) => {
      chunks.length = 0
      reject(createCallerError(code, text))
    }
    if (Number(message.headers['content-length'] ?? 0) > maxBytes) size = Infinity
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= maxBytes) chunks.push(chunk)
      else fail('body_too_large', tooLarge)
    })
    message.once('end', () => resolve(Buffer.concat(chunks).toString('utf8')))
    message.once('close', () => {
      if (!message.complete) fail('bad_request', 'The body ended early: send all of it.')
    })
    message.once('error', () => {})
  })
}
