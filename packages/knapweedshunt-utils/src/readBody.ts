import type { IncomingMessage } from 'node:http'
import { BodyBuffer } from './bodyBuffer.ts'
import { BodyTooLargeError, BodyTruncatedError, NoRoomError, ResponseMalformedError } from './httpErrors.ts'

/** Reads a complete body as UTF-8 text. Throws BodyTooLargeError above `maxBytes`, NoRoomError if `tryKeep` refuses the memory that it takes, in bytes, ResponseMalformedError if the bytes are no response, and BodyTruncatedError if the connection closes early; for a response this takes a message of `waitForHead`. */
export async function readBody (message: IncomingMessage, maxBytes: number, tryKeep: (sizeBytes: number) => boolean = () => true): Promise<string> {
  const buffer = new BodyBuffer()
  try {
    for await (const chunk of message) {
      buffer.add(chunk)
      if (buffer.length > maxBytes) throw new BodyTooLargeError(`The body is over ${maxBytes} bytes: send a smaller one.`)
      if (!tryKeep(buffer.capacity)) throw new NoRoomError(`There is no memory for ${buffer.length} bytes of a body.`)
    }
  } catch (cause) {
    if (cause instanceof BodyTooLargeError || cause instanceof NoRoomError || cause instanceof ResponseMalformedError) throw cause
    throw new BodyTruncatedError('The body ended early: send all of it.', { cause })
  }
  if (!message.complete) throw new BodyTruncatedError('The body ended early: send all of it.')
  return buffer.join().toString('utf8')
}
