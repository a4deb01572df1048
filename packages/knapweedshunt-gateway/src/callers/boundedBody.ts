import { Transform } from 'node:stream'
import type { TransformCallback } from 'node:stream'

/** Bounds of one body. */
export interface BodyLimits {
  maxBytes: number
  /** Longest silence, in milliseconds. */
  idleMs: number
}

/** Passes a body through; ends in an error when it grows over its bound or falls silent. */
export class BoundedBody extends Transform {
  readonly #limits: BodyLimits
  #bytes: number
  #timer: NodeJS.Timeout | undefined

  constructor (limits: BodyLimits, readBytes: number) {
    super()
    this.#limits = limits
    this.#bytes = readBytes
    this.#wait()
  }

  /** Called by the runtime for each chunk. */
  override _transform (chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.#bytes += chunk.length
    if (this.#bytes > this.#limits.maxBytes) return done(new Error(`The body is over ${this.#limits.maxBytes} bytes.`))
    this.#wait()
    done(null, chunk)
  }

  /** Called by the runtime at the end. */
  override _flush (done: TransformCallback): void {
    clearTimeout(this.#timer)
    done()
  }

  /** Called by the runtime when the body is given up. */
  override _destroy (error: Error | null, done: (error: Error | null) => void): void {
    clearTimeout(this.#timer)
    done(error)
  }

  #wait (): void {
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => this.destroy(new Error(`The body was silent for ${this.#limits.idleMs} ms.`)), this.#limits.idleMs)
  }
}
