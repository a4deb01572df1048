import type http from 'node:http'
import type { Socket } from 'node:net'
import { CONNECTION_END, probeConnectionEnd } from 'knapweedshunt-utils'

/** Requests of one connection that are under way at a time. */
export const MAX_STARTED_REQUESTS = 8

/** Interval at which connections that are not read are checked for their end, in milliseconds. */
const END_CHECK_INTERVAL_MS = 200

/** Bytes up to which such checks read ahead: of a connection, and of all together. */
const MAX_UNPARSED_BYTES = 1024 * 1024
const MAX_TOTAL_UNPARSED_BYTES = 4 * MAX_UNPARSED_BYTES

/** Options of {@link PipelinedRequests}. */
export interface PipelinedRequestsOptions {
  /** Requests that may wait, on all connections together. */
  maxWaiting: number
  /** Called when a connection was closed as its requests took too much of that. */
  onEvicted (): void
}

/** Requests of one connection whose responses are not out. */
interface Pipeline {
  requestCount: number
  startedCount: number
  /** Starts of the others, in order. */
  waiting: Array<() => void>
}

/** Bounds the requests under way on each connection. Those that were read beyond it wait, in order, and the connection is not read until all of them are started. */
export class PipelinedRequests {
  readonly #options: PipelinedRequestsOptions
  readonly #pipelines = new Map<Socket, Pipeline>()
  #waitingCount = 0
  #endTimer: NodeJS.Timeout | null = null

  constructor (options: PipelinedRequestsOptions) {
    this.#options = options
  }

  /** Number of requests that wait. */
  get waitingCount (): number {
    return this.#waitingCount
  }

  /** Starts a request, at once or as soon as enough responses before it are out. */
  enqueue (socket: Socket, response: http.ServerResponse, start: () => void): void {
    const pipeline = this.#pipelines.get(socket) ?? this.#addPipeline(socket)
    pipeline.requestCount++
    const startCounted = () => {
      pipeline.startedCount++
      response.once('close', () => {
        pipeline.startedCount--
        this.#startNext(socket, pipeline)
      })
      start()
    }
    if (pipeline.startedCount < MAX_STARTED_REQUESTS) return startCounted()
    pipeline.waiting.push(startCounted)
    this.#waitingCount++
    socket.pause()
    this.#endTimer ??= setInterval(() => this.#checkEnds(), END_CHECK_INTERVAL_MS).unref()
    if (this.#waitingCount > this.#options.maxWaiting) this.tryEvictLargest()
  }

  /** Closes the connection on which most requests wait; false if none does. */
  tryEvictLargest (): boolean {
    if (this.#waitingCount === 0) return false
    const [[socket, pipeline]] = [...this.#pipelines].sort(([, a], [, b]) => b.waiting.length - a.waiting.length)
    this.#removePipeline(socket, pipeline)
    this.#options.onEvicted()
    socket.destroy()
    return true
  }

  /** Number of requests that were read on a connection. */
  countRequests (socket: Socket): number {
    return this.#pipelines.get(socket)?.requestCount ?? 0
  }

  #addPipeline (socket: Socket): Pipeline {
    const pipeline: Pipeline = { requestCount: 0, startedCount: 0, waiting: [] }
    this.#pipelines.set(socket, pipeline)
    // Each request that is started listens to the socket; their number is bounded here.
    socket.setMaxListeners(0)
    // Node.js resumes a connection to read the body of a request, also of one that is whole.
    socket.on('resume', () => { if (pipeline.waiting.length > 0) socket.pause() })
    socket.once('close', () => this.#removePipeline(socket, pipeline))
    return pipeline
  }

  #removePipeline (socket: Socket, pipeline: Pipeline): void {
    this.#waitingCount -= pipeline.waiting.length
    pipeline.waiting = []
    this.#pipelines.delete(socket)
  }

  #startNext (socket: Socket, pipeline: Pipeline): void {
    if (socket.destroyed) return
    const start = pipeline.waiting.shift()
    if (start === undefined) return
    this.#waitingCount--
    start()
    if (pipeline.waiting.length === 0) socket.resume()
  }

  /** Gives up connections that their callers have ended. Node.js does not report an end behind bytes that are not read. */
  #checkEnds (): void {
    const unread = [...this.#pipelines].filter(([socket, { waiting }]) => waiting.length > 0 && socket.readableLength > 0)
    let freeBytes = MAX_TOTAL_UNPARSED_BYTES - unread.reduce((sum, [{ readableLength }]) => sum + readableLength, 0)
    for (const [socket, pipeline] of unread) {
      const { readableLength } = socket
      const end = probeConnectionEnd(socket, Math.min(MAX_UNPARSED_BYTES, readableLength + freeBytes))
      freeBytes -= socket.readableLength - readableLength
      switch (end) {
        case null:
          break
        case CONNECTION_END.closed:
          this.#skipToEnd(socket, pipeline)
          break
        case CONNECTION_END.reset:
          socket.destroy()
          break
        default:
          end satisfies never
      }
    }
    if (this.#waitingCount > 0 || this.#endTimer === null) return
    clearInterval(this.#endTimer)
    this.#endTimer = null
  }

  /** Drops the requests that are not started and has the connection end as any other that is half-closed. */
  #skipToEnd (socket: Socket, pipeline: Pipeline): void {
    this.#removePipeline(socket, pipeline)
    socket.removeAllListeners('data')
    socket.resume()
  }
}
