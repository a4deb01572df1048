import type http from 'node:http'

/** Answers up to this size are read whole before they are passed on, so that one that breaks off can be tried again; in bytes. */
const WHOLE_ANSWER_BYTES = 256 * 1024

/** Body of an endpoint's answer. */
export type AnswerBody =
  | { type: 'whole', bytes: Buffer }
  /** The beginning of a long one; the message is paused. */
  | { type: 'long', first: Buffer[] }
  | { type: 'cut', reason: string }

/** Reads an answer's body, or the beginning of a long one. */
export function readAnswerBody (message: http.IncomingMessage): Promise<AnswerBody> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    const settle = (body: AnswerBody) => {
      message.removeListener('data', onData)
      message.removeListener('end', onEnd)
      message.removeListener('close', onClose)
      resolve(body)
    }
    const onEnd = () => settle(message.complete ? { type: 'whole', bytes: Buffer.concat(chunks) } : { type: 'cut', reason: 'ended early' })
    const onClose = () => settle({ type: 'cut', reason: 'connection closed' })
    const onData = (chunk: Buffer) => {
      bytes += chunk.length
      chunks.push(chunk)
      if (bytes <= WHOLE_ANSWER_BYTES) return
      message.pause()
      settle({ type: 'long', first: chunks })
    }
    message.on('data', onData)
    message.once('end', onEnd)
    message.once('close', onClose)
  })
}
