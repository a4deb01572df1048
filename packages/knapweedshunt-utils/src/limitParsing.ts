import type http from 'node:http'
import type { Socket } from 'node:net'

/** Bytes of a connection that are parsed first, and at most at a time: within a body without chunks, and while parsing is fast. */
export const SLICE_BYTES = 2 * 1024
const MAX_SLICE_BYTES = 16 * 1024

/** Processor time that parsing one connection may take in a turn of the event loop unless it is fast, in microseconds. */
const TURN_US = 250

/** Processor time up to which parsing is fast, in microseconds for each byte. */
const FAST_US_PER_BYTE = 0.01

/** Number of connections of a server whose bytes may wait for another turn, if its owner states none. Each has one read in memory, at times two. */
const DEFAULT_MAX_WAITING = 32

/** Number of these that go on in a turn: few, as a turn accepts one connection, and more once most of the places are taken. */
const RESUMED_COUNT = 2
const CROWDED_RESUMED_COUNT = 8
const CROWDED_SHARE = 3 / 4

/** Event of a server whose connections are parsed in slices: some that waited go on, and what they have sent may begin a request. */
export const PARSING_RESUMED = 'parsingResumed'

/** Has a server parse each connection in slices and go on in another turn of the event loop once they took long: very small chunks take several times as long as others of the same size, and a turn accepts one connection. What a closed connection had sent is not parsed any more. */
export function limitParsing (server: http.Server, maxWaiting = DEFAULT_MAX_WAITING): void {
  const waiting = new Set<Socket>()
  /** Requests whose bodies are not whole. */
  const unfinished = new WeakMap<Socket, http.IncomingMessage>()
  let timer: NodeJS.Immediate | null = null
  const resume = () => {
    // The connections of the others do not count as idle; with very small chunks their bytes may wait without an end.
    if ([...waiting].some(socket => !unfinished.has(socket))) server.emit(PARSING_RESUMED)
    const count = waiting.size < maxWaiting * CROWDED_SHARE ? RESUMED_COUNT : CROWDED_RESUMED_COUNT
    for (const socket of [...waiting].slice(0, count)) {
      waiting.delete(socket)
      socket.resume()
    }
    timer = waiting.size > 0 ? setImmediate(resume) : null
  }
  /** Has a connection wait for another turn; false if too many wait. */
  const tryWait = (socket: Socket) => {
    if (waiting.size >= maxWaiting) return false
    timer ??= setImmediate(resume)
    waiting.add(socket)
    return true
  }
  /** Puts bytes back until the connection is resumed, here or by the server that paused it; false if too many wait. */
  const tryDefer = (socket: Socket, bytes: Buffer) => {
    if (!socket.isPaused() && !tryWait(socket)) return false
    putBack(socket, bytes)
    return true
  }
  /** Bytes that are certainly still to come of a body whose length its request states. */
  const bodyBytes = new WeakMap<Socket, number>()
  server.prependListener('request', request => {
    unfinished.set(request.socket, request)
    bodyBytes.set(request.socket, Number(request.headers['content-length'] ?? 0))
  })
  const recordParsed = (socket: Socket, bytes: number) => {
    if (unfinished.get(socket)?.complete === true) unfinished.delete(socket)
    bodyBytes.set(socket, (bodyBytes.get(socket) ?? 0) - bytes)
  }
  /** Chooses how much of a connection is parsed next; the rest of a body with a length takes the parser no time, what follows it may. */
  const chooseSize = (socket: Socket, fastSize: number) => Math.min(MAX_SLICE_BYTES, Math.max(fastSize, bodyBytes.get(socket) ?? 0))
  server.on('connection', (socket: Socket) => {
    const parsers = socket.listeners('data') as Array<(bytes: Buffer) => void>
    // With a listener of others the server does not read the descriptor past the stream.
    socket.on('data', (bytes: Buffer) => {
      // The server resumes a connection whose request is read.
      if (waiting.has(socket) || isParserPaused(socket)) return putBack(socket, bytes)
      const startUs = readProcessorUs()
      let usedUs = 0
      let size = chooseSize(socket, SLICE_BYTES)
      for (let end = 0; end < bytes.length && !socket.destroyed;) {
        const slice = bytes.subarray(end, end += size)
        for (const parse of parsers) parse(slice)
        recordParsed(socket, slice.length)
        size = chooseSize(socket, 2 * size)
        if (end >= bytes.length || socket.destroyed) return
        const sliceUs = readProcessorUs() - startUs - usedUs
        usedUs += sliceUs
        if (isParserPaused(socket)) {
          // The server may resume it in this turn, and pauses it again if it is resumed too early.
          if (usedUs >= TURN_US) tryWait(socket)
          return putBack(socket, bytes.subarray(end))
        }
        if (sliceUs < slice.length * FAST_US_PER_BYTE) continue
        size = chooseSize(socket, SLICE_BYTES)
        if (usedUs >= TURN_US && tryDefer(socket, bytes.subarray(end))) return
      }
    })
    for (const parse of parsers) socket.removeListener('data', parse)
    socket.once('close', () => waiting.delete(socket))
  })
}

/** Whether the server has paused the parser of a connection, as too much of its responses waits. It throws if it is given more, and resumes the connection itself. */
function isParserPaused (socket: Socket): boolean {
  return '_paused' in socket && socket._paused === true
}

/** Returns the processor time of this process so far, in microseconds: other than time, it stands still while others use the processor. */
function readProcessorUs (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}

function putBack (socket: Socket, bytes: Buffer): void {
  socket.pause()
  socket.unshift(bytes)
}
