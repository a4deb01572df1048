import http from 'node:http'
import type { Socket } from 'node:net'
import { isFollowed, ResponseHold } from './responseHold.ts'
import type { ResponseStart, WholeResponse } from './responseStart.ts'

/** Writes that may wait for the connection of the caller; each costs objects beyond its bytes. */
const MAX_UNSENT_WRITES = 64

const NO_BYTES = Buffer.alloc(0)

/** How far the response to a caller has got. */
export type ResponsePhase = 'waiting' | 'begun' | 'ended'

/**
 * The response to one caller, and whether that caller is still there. Nothing else writes to the caller: one head, then
 * the body, then one end. What comes too late is dropped, and no method throws, so that timers and listeners may call it.
 */
export class CallerResponse {
  readonly #response: http.ServerResponse
  readonly #socket: Socket | null
  readonly #leaveController = new AbortController()
  #phase: ResponsePhase = 'waiting'
  /** Whether only the end of the connection delimits the body, as the caller's protocol version has no chunks. */
  #isEndedByClose = false
  #hold: ResponseHold | null = null
  /** Head that is written with the first bytes of the body; null without one. */
  #preparedStart: ResponseStart | null = null
  #hasWritten = false
  /** Writes since the connection had taken all. */
  #unsentWrites = 0
  #isUnanswered = false

  constructor (response: http.ServerResponse) {
    this.#response = response
    this.#socket = response.req.socket ?? null
    if (this.#socket === null || this.#socket.destroyed || this.#socket.readableEnded) {
      this.#leaveController.abort()
      return
    }
    // The response closes only when all that was written is out; a half-closed connection shows at once that its caller has left.
    this.#socket.once('end', this.#handleLeft)
    this.#socket.once('close', this.#handleLeft)
    response.once('close', this.#handleLeft)
    response.once('finish', this.#removeListeners)
  }

  /** How far the response has got. */
  get phase (): ResponsePhase {
    return this.#phase
  }

  /** Whether the caller closed its connection before the response was complete. */
  get hasCallerLeft (): boolean {
    return this.#leaveController.signal.aborted
  }

  /** Whether nothing of the response has been sent, as none was written or its turn has not come. */
  get isReplaceable (): boolean {
    return this.#phase === 'waiting' || (this.#phase === 'begun' && this.#hold !== null)
  }

  /** Whether a head waits for the first bytes of its body. */
  get isPrepared (): boolean {
    return this.#preparedStart !== null
  }

  /** Whether the response was aborted before any of it was written, though the caller waited for it. */
  get isUnanswered (): boolean {
    return this.#isUnanswered
  }

  /** Bytes written that the caller's connection has not taken. */
  get unsentBytes (): number {
    return this.#response.writableLength + (this.#hold?.heldBytes ?? 0)
  }

  /** Aborts when the caller leaves. */
  get leaveSignal (): AbortSignal {
    return this.#leaveController.signal
  }

  /** Keeps a head that is written with the first bytes of the body, and until then gives way to another one; false if a head was written before, the caller has left, or this one cannot be written. */
  tryPrepare (start: ResponseStart): boolean {
    if (this.#phase !== 'waiting' || this.hasCallerLeft) return false
    try {
      writeHead(new http.ServerResponse(this.#response.req), start)
    } catch {
      return false
    }
    this.#preparedStart = start
    return true
  }

  /** Writes the head, which closes the connection only if no other request was accepted behind this one; false if one was written before, the caller has left, or the head cannot be written. */
  tryBegin (start: ResponseStart): boolean {
    if (this.#phase !== 'waiting' || this.hasCallerLeft) return false
    const { headers, closesConnection } = start
    // If this process is killed, the system closes the connection in the regular way; only chunks or a length show that the body is not complete.
    const hasLength = headers.some((name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length')
    this.#isEndedByClose = !this.#response.useChunkedEncodingByDefault && !hasLength
    const mayBeFollowed = !this.#isEndedByClose && (!closesConnection || isFollowed(this.#response))
    if (!mayBeFollowed) this.#response.shouldKeepAlive = false
    this.#response.sendDate = false
    try {
      // A head that announces the close while it waits could not be changed when another request is read, and a stream that breaks off could not be refused.
      if (this.#hold !== null || (mayBeFollowed && this.#response.socket === null && !(this.#response.shouldKeepAlive && hasLength))) {
        writeHead(new http.ServerResponse(this.#response.req), start)
        this.#hold ??= new ResponseHold(this.#response, () => { this.#hold = null })
        this.#hold.add(() => writeHead(this.#response, start))
      } else writeHead(this.#response, start)
    } catch {
      // Node.js keeps a reason phrase that it rejects, and would reject the next head for it.
      this.#response.statusMessage = ''
      return false
    }
    this.#phase = 'begun'
    return true
  }

  /** Sends a whole response in place of what was not sent yet; if a part was sent, the response is aborted instead. */
  sendWhole ({ start, body }: WholeResponse): void {
    if (this.#phase === 'begun' && this.isReplaceable) {
      this.#hold?.clear()
      this.#phase = 'waiting'
    }
    if (this.tryBegin(start)) this.end(body)
    else this.abort()
  }

  /** Writes a part of the body; returns whether the caller reads on. */
  write (bytes: Buffer): boolean {
    this.#beginPrepared()
    if (this.#phase !== 'begun' || this.hasCallerLeft) return true
    this.#hasWritten = true
    return this.#hold === null ? this.#writePart(bytes) : this.#hold.add(() => this.#writePart(bytes), bytes.length)
  }

  #writePart (bytes: Buffer): boolean {
    if (this.#response.writableLength === 0) this.#unsentWrites = 0
    this.#unsentWrites++
    return this.#response.write(bytes) && this.#unsentWrites < MAX_UNSENT_WRITES
  }

  /** Ends a response whose body is complete. */
  end (bytes?: Buffer): void {
    this.#beginPrepared()
    if (this.#phase !== 'begun') return
    this.#phase = 'ended'
    if (this.#hold === null) return this.#writeEnd(bytes)
    this.#hold.add(() => this.#writeEnd(bytes), bytes?.length)
    this.#hold.complete()
  }

  #beginPrepared (): void {
    const start = this.#preparedStart
    this.#preparedStart = null
    if (start !== null) this.tryBegin(start)
  }

  #writeEnd (bytes?: Buffer): void {
    const endResponse = () => { this.#response.end() }
    // Node.js counts the connection as idle once the response has ended, and closes it at a stop even if bytes wait to be sent.
    if (bytes !== undefined) this.#response.write(bytes, endResponse)
    else if (this.#socket !== null && this.#socket.writableLength > 0) this.#socket.write('', endResponse)
    else endResponse()
  }

  /** Ends a response that is not complete, so that its caller does not take it for complete. */
  abort (): void {
    if (this.#phase === 'ended') return
    this.#phase = 'ended'
    this.#isUnanswered = (!this.#hasWritten || this.#hold !== null) && !this.hasCallerLeft
    this.#hold?.clear()
    // Node.js sends what was written at the end of the turn, and drops it if the connection is destroyed before.
    this.#response.socket?.uncork()
    // Only a reset shows that a body which the end of the connection delimits is not complete.
    if (this.#isEndedByClose) this.#socket?.resetAndDestroy()
    else this.#response.destroy()
  }

  /** Waits until the caller has read what was written, or until the signal aborts; false if it has left. */
  waitDrain (signal: AbortSignal): Promise<boolean> {
    if (this.hasCallerLeft) return Promise.resolve(false)
    const { leaveSignal } = this
    return new Promise(resolve => {
      const settle = () => {
        this.#response.removeListener('drain', settle)
        for (const one of [signal, leaveSignal]) one.removeEventListener('abort', settle)
        resolve(!this.hasCallerLeft)
      }
      this.#response.once('drain', settle)
      // Many small writes make the response wait before Node.js would.
      if (this.#hold === null && !this.#response.writableNeedDrain) this.#response.write(NO_BYTES, settle)
      for (const one of [signal, leaveSignal]) one.addEventListener('abort', settle)
    })
  }

  readonly #handleLeft = (): void => {
    this.#removeListeners()
    if (!this.#response.writableFinished) this.#leaveController.abort()
  }

  readonly #removeListeners = (): void => {
    this.#socket?.removeListener('end', this.#handleLeft)
    this.#socket?.removeListener('close', this.#handleLeft)
    this.#response.removeListener('close', this.#handleLeft)
    this.#response.removeListener('finish', this.#removeListeners)
  }
}

function writeHead (response: http.ServerResponse, { status, message, headers }: ResponseStart): void {
  if (message === '') response.writeHead(status, headers)
  else response.writeHead(status, message, headers)
}
