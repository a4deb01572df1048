import type http from 'node:http'

/** Answers up to this size, in bytes, are buffered completely before they are forwarded, so that the request can be retried if the answer is cut off. */
const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024

/** Body of an endpoint's answer, as far as it was buffered. */
export type AnswerBody =
  | { type: 'whole', bytes: Buffer }
  /** First chunks of a body above the buffer limit; the message is paused. */
  | { type: 'long', first: Buffer[] }
  | { type: 'cut', reason: string }

/** Reads the body of an answer, or the first chunks of one above the buffer limit. */
export function readAnswerBody (message: http.IncomingMessage): Promise<AnswerBody> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let totalBytes = 0
    const settle = (body: AnswerBody) => {
      message.removeListener('data', onData)
      message.removeListener('end', onEnd)
      message.removeListener('close', onClose)
      resolve(body)
    }
    const onEnd = () => settle(message.complete ? { type: 'whole', bytes: Buffer.concat(chunks) } : { type: 'cut', reason: 'ended early' })
    const onClose = () => settle({ type: 'cut', reason: 'connection closed' })
    const onData = (chunk: Buffer) => {
      totalBytes += chunk.length
      chunks.push(chunk)
      if (totalBytes <= MAX_BUFFERED_ANSWER_BYTES) return
      message.pause()
      settle({ type: 'long', first: chunks })
    }
    message.on('data', onData)
    message.once('end', onEnd)
    message.once('close', onClose)
  })
}
