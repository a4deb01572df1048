import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { BodyBuffer } from './bodyBuffer.ts'
import { PacedSocket, PARSED } from './pacedSocket.ts'

/**
 * Joins the parts of a body before they reach its reader: those of one read, and those that arrive while the reader lags
 * behind. The parser hands out each chunk as an object with a buffer of its own, which costs hundreds of times the byte
 * that may be in it. What a read brings is handed on with it, so that no part waits for others.
 *
 * `onPart` is called for each part that the parser hands out, with its size in bytes.
 */
export function joinParts (request: ClientRequest, onPart: (bytes: number) => void): void {
  let joiner: PartJoiner | null = null
  let stop = () => {}
  request.once('socket', (socket: Socket) => {
    // Of another connection after the listener of `node:http`, which parses the bytes.
    const event = socket instanceof PacedSocket ? PARSED : 'data'
    const handleParsed = () => joiner?.handleParsed(socket)
    socket.on(event, handleParsed)
    stop = () => socket.removeListener(event, handleParsed)
  })
  // Not within the listener above: one that counts parts as progress and is added after this call must get them before they are joined.
  request.once('response', response => {
    const { socket } = response
    const recordPart = (bytes: number) => {
      if (socket instanceof PacedSocket) socket.recordPart()
      onPart(bytes)
    }
    joiner = new PartJoiner(response, recordPart, () => stop())
  })
  request.once('close', () => stop())
}

/** Parts of the body of one response that its reader has not got. */
class PartJoiner {
  readonly #response: IncomingMessage
  readonly #push: IncomingMessage['push']
  /** First part, which goes on as it is if no other one follows; null if there is none. */
  #first: Buffer | null = null
  /** All parts from the first on; null if there is at most one. */
  #parts: BodyBuffer | null = null

  constructor (response: IncomingMessage, onPart: (bytes: number) => void, onEnd: () => void) {
    this.#response = response
    this.#push = response.push
    const read = response.read
    response.push = chunk => {
      if (chunk !== null) {
        onPart(chunk.length)
        return this.#add(chunk)
      }
      onEnd()
      this.#handOn()
      return this.#push.call(response, null)
    }
    // A reader that has taken all takes what was joined meanwhile.
    response.read = size => {
      if (response.readableLength === 0) this.#handOn()
      return read.call(response, size)
    }
  }

  /** Hands on what one read has brought, unless the reader lags behind. */
  handleParsed (socket: Socket): void {
    if (this.#response.readableLength === 0 && !this.#handOn()) socket.pause()
  }

  /** Returns whether more is wanted. */
  #add (part: Buffer): boolean {
    if (this.#first === null) this.#first = part
    else {
      if (this.#parts === null) {
        this.#parts = new BodyBuffer()
        this.#parts.add(this.#first)
      }
      this.#parts.add(part)
    }
    const length = this.#parts?.length ?? part.length
    const { readableLength, readableHighWaterMark } = this.#response
    if (length >= readableHighWaterMark) return this.#handOn()
    return readableLength + length < readableHighWaterMark
  }

  /** Returns whether more is wanted. */
  #handOn (): boolean {
    const bytes = this.#parts?.join() ?? this.#first
    this.#first = null
    this.#parts = null
    return bytes === null || this.#push.call(this.#response, bytes)
  }
}
