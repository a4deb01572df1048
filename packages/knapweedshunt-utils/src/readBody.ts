import type { IncomingMessage } from 'node:http'
import { BodyTooLargeError, BodyUnfinishedError } from './httpErrors.ts'

/** Reads a whole body as UTF-8 text. Throws BodyTooLargeError past `maxBytes`, BodyUnfinishedError when the peer closes early. */
export async function readBody (message: IncomingMessage, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of message) {
      size += chunk.length
      if (size > maxBytes) throw new BodyTooLargeError(`The body is over ${maxBytes} bytes: send a smaller one.`)
      chunks.push(chunk)
    }
  } catch (cause) {
    if (cause instanceof BodyTooLargeError) throw cause
    throw new BodyUnfinishedError('The body ended early: send all of it.', { cause })
  }
  if (!message.complete) throw new BodyUnfinishedError('The body ended early: send all of it.')
  return Buffer.concat(chunks).toString('utf8')
}
