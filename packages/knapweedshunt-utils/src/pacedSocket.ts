import { Socket } from 'node:net'
import type { OnReadOpts, SocketConstructorOpts } from 'node:net'
import { Duplex } from 'node:stream'
import { PROCESS_TURNS } from './parsingTurns.ts'
import type { ParsingConnection, ParsingTurns } from './parsingTurns.ts'
import { SliceSize } from './sliceSize.ts'

/** Most bytes that one read takes; a connection keeps as many while they wait for their turn. */
const DEFAULT_READ_BYTES = 16 * 1024

/** The same for a client that has few connections and reads long bodies. */
export const LARGE_READ_BYTES = 64 * 1024

/** All connections read into this one. */
const READ_BUFFER = Buffer.allocUnsafeSlow(LARGE_READ_BYTES)

const buildSharedRead = (maxBytes: number): { onread: OnReadOpts } => ({
  onread: {
    buffer: READ_BUFFER.subarray(0, maxBytes),
    callback (this: PacedSocket, byteCount: number, buffer: Uint8Array): boolean {
      return this.receive(buffer.subarray(0, byteCount))
    }
  }
})

/** Options of `node:net`, and how much one read takes. */
export interface PacedSocketOptions extends SocketConstructorOpts {
  /** Most bytes that one read takes, {@link LARGE_READ_BYTES} at most. */
  maxReadBytes?: number
}

/** Event of a connection when the parser has handled what it was given, and gets no more in this turn. */
export const PARSED = 'parsed'

const NO_BYTES = Buffer.alloc(0)

/**
 * Client connection that costs the process little, whatever arrives on it. All connections read into one buffer and copy
 * what has arrived: otherwise Node.js allocates 64 KiB for each read. What comes in very small parts is handed to the
 * parser in slices, in turns with all other such connections.
 */
export class PacedSocket extends Socket implements ParsingConnection {
  readonly #turns: ParsingTurns
  /** Bytes that were read and not handed on. */
  #rest: Buffer = NO_BYTES
  readonly #sliceSize: SliceSize
  #partCount = 0
  #usedMs = 0

  constructor ({ maxReadBytes = DEFAULT_READ_BYTES, ...options }: PacedSocketOptions = {}, turns: ParsingTurns = PROCESS_TURNS) {
    super({ ...options, ...buildSharedRead(maxReadBytes) })
    this.#turns = turns
    this.#sliceSize = new SliceSize(maxReadBytes)
    this.on('resume', () => this.#readOn())
    this.once('close', () => {
      turns.remove(this)
      this.#rest = NO_BYTES
    })
  }

  /** Time that parsing small parts has taken so far, in milliseconds. */
  get usedMs (): number {
    return this.#usedMs
  }

  /** Records that the parser handed out a part of a body. */
  recordPart (): void {
    this.#partCount++
  }

  /** Takes bytes that have arrived; returns whether more may be read now. */
  receive (bytes: Uint8Array): boolean {
    this.#rest = this.#rest.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.#rest, bytes])
    if (!this.#sliceSize.hasSmallParts) return this.#pushSlices()
    this.#turns.enqueue(this)
    return false
  }

  /** Prepares for the next response on this connection; false if bytes wait that belong to none. */
  tryReset (): boolean {
    this.#sliceSize.reset()
    this.#usedMs = 0
    return this.#rest.length === 0
  }

  /** Called by {@link ParsingTurns}. */
  takeTurn (maxMs: number): number {
    const startedAtMs = performance.now()
    let turnMs = 0
    while (this.#canPush() && turnMs <= maxMs) {
      this.#pushSlice()
      turnMs = performance.now() - startedAtMs
    }
    this.emit(PARSED)
    this.#usedMs += turnMs
    return turnMs
  }

  /** Called by Node.js when more bytes are wanted. */
  override _read (size: number): void {
    if (this.#rest.length === 0) super._read(size)
    // What is pushed before this returns is parsed later, and its cost would not be known.
    else process.nextTick(() => this.#readOn())
  }

  /** A socket with a read buffer reads on whenever it is asked for bytes, also while some wait here. */
  override read (size?: number): unknown {
    return this.#rest.length === 0 ? super.read(size) : Duplex.prototype.read.call(this, size)
  }

  /** See {@link read}. */
  override resume (): this {
    return this.#rest.length === 0 ? super.resume() : Duplex.prototype.resume.call(this) as this
  }

  #readOn (): void {
    if (!this.#canPush()) return
    if (this.#sliceSize.hasSmallParts) this.#turns.enqueue(this)
    else this.#pushSlices()
  }

  /** What is pushed while the connection is paused would be parsed at once when it is resumed. */
  #canPush (): boolean {
    return this.#rest.length > 0 && !this.destroyed && this.readableFlowing !== false
  }

  /** Pushes slices while they have no small parts; returns whether all are pushed and more is wanted. */
  #pushSlices (): boolean {
    let readsOn = true
    while (this.#canPush()) {
      readsOn = this.#pushSlice()
      if (this.#sliceSize.hasSmallParts) break
    }
    this.emit(PARSED)
    return readsOn && this.#rest.length === 0
  }

  /** Returns whether more is wanted. */
  #pushSlice (): boolean {
    const isLast = this.#rest.length <= this.#sliceSize.bytes
    const slice = isLast ? this.#rest : this.#rest.subarray(0, this.#sliceSize.bytes)
    this.#rest = isLast ? NO_BYTES : this.#rest.subarray(slice.length)
    this.#partCount = 0
    const readsOn = this.push(slice)
    this.#sliceSize.record(slice.length, this.#partCount)
    // The parser stops listening behind a whole response: bytes that follow it must not reach the next one on this connection.
    if (this.#rest.length > 0 && this.listenerCount('data') === 0 && this.readableFlowing !== null) this.destroy()
    return readsOn
  }
}
