import { Transform } from 'node:stream'
import type { TransformCallback } from 'node:stream'
import { BodyBuffer } from 'knapweedshunt-utils'

/** Size from which on joined chunks are handed on at once, in bytes. */
const MIN_CHUNK_BYTES = 4 * 1024

/** Limits of a request body. */
export interface BodyLimits {
  maxBytes: number
  /** Maximum time between two chunks, in milliseconds. */
  idleTimeoutMs: number
  /** Maximum time for all of it that is read before it is sent, in milliseconds; none if absent. */
  timeoutMs?: number
}

/** What {@link BoundedBody} starts with. */
export interface BoundedBodyOptions {
  /** Bytes of the body that were read before. */
  readBytes: number
  /** Bytes that are read before anybody asks for them. */
  aheadBytes: number
  /** Called for each chunk that arrives, with its size in bytes. */
  onChunk (bytes: number): void
}

/** Stream that forwards a body and fails if the body exceeds its size limit or pauses for longer than the idle timeout. */
export class BoundedBody extends Transform {
  readonly #limits: BodyLimits
  readonly #onChunk: (bytes: number) => void
  readonly #idleTimer: NodeJS.Timeout
  #bytes: number
  /** Chunks that are not handed on yet. */
  #pending = new BodyBuffer()
  #flushTimer: NodeJS.Immediate | undefined

  constructor (limits: BodyLimits, { readBytes, aheadBytes, onChunk }: BoundedBodyOptions) {
    super({ readableHighWaterMark: aheadBytes })
    this.#limits = limits
    this.#onChunk = onChunk
    this.#bytes = readBytes
    this.#idleTimer = setTimeout(() => this.destroy(new Error(`No data of the body arrived for ${limits.idleTimeoutMs} ms.`)), limits.idleTimeoutMs)
  }

  /** Whether all that arrived was taken by the reader. */
  get isEmpty (): boolean {
    return this.readableLength === 0 && this.writableLength === 0 && this.#pending.length === 0
  }

  /** Called by Node.js for each chunk. */
  override _transform (chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.#bytes += chunk.length
    this.#onChunk(chunk.length)
    if (this.destroyed) return done()
    if (this.#bytes > this.#limits.maxBytes) return done(new Error(`The body exceeds ${this.#limits.maxBytes} bytes.`))
    this.#idleTimer.refresh()
    this.#pending.add(chunk)
    if (this.#pending.length >= MIN_CHUNK_BYTES) this.#handOn()
    else this.#flushTimer ??= setImmediate(() => this.#handOn())
    done()
  }

  /** Called by Node.js at the end of the body. */
  override _flush (done: TransformCallback): void {
    clearTimeout(this.#idleTimer)
    this.#handOn()
    done()
  }

  /** Called by Node.js when the stream is destroyed. */
  override _destroy (error: Error | null, done: (error: Error | null) => void): void {
    clearTimeout(this.#idleTimer)
    clearImmediate(this.#flushTimer)
    done(error)
  }

  #handOn (): void {
    clearImmediate(this.#flushTimer)
    this.#flushTimer = undefined
    if (this.#pending.length === 0) return
    const parts = this.#pending.list()
    this.#pending = new BodyBuffer()
    for (const part of parts) this.push(part)
  }
}
