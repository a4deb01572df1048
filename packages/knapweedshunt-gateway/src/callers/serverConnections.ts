import type http from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionEviction } from '../records/decision.ts'
import { ConnectionTable } from './connectionTable.ts'

const TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'

/** Options of {@link ServerConnections}. */
export interface ServerConnectionsOptions {
  maxConnections: number
  /** Ends a request that may give way, so that its connection closes; false if there is none. */
  tryEndRequest (): boolean
  onEvicted (reason: ConnectionEviction): void
}

/** Bounds the connections of a server: the one that has had no request for longest gives way, else one whose request may be ended, else the new one. */
export class ServerConnections {
  readonly #options: ServerConnectionsOptions
  readonly #table: ConnectionTable<Socket>
  /** Bytes that each connection without a request under way had sent when its last one ended. */
  readonly #bytesAtIdle = new WeakMap<Socket, number>()
  #turnTimer: NodeJS.Immediate | null = null

  constructor (server: http.Server, options: ServerConnectionsOptions) {
    this.#options = options
    this.#table = new ConnectionTable(options.maxConnections)
    server.on('connection', (socket: Socket) => this.#add(socket))
  }

  /** Number of open connections. */
  get size (): number {
    return this.#table.size
  }

  /** Records that a request is under way. */
  recordBusy (socket: Socket): void {
    this.#table.recordBusy(socket)
  }

  /** Records that no request is under way any more. */
  recordIdle (socket: Socket): void {
    this.#bytesAtIdle.set(socket, socket.bytesRead)
    this.#table.recordIdle(socket)
  }

  #add (socket: Socket): void {
    socket.once('close', () => this.#table.remove(socket))
    this.#table.add(socket)
    this.#turnTimer ??= setImmediate(() => this.#advanceTurn())
    if (this.#table.isOverfull) this.#makeRoom(socket)
  }

  #advanceTurn (): void {
    this.#turnTimer = this.#table.advanceTurn() ? setImmediate(() => this.#advanceTurn()) : null
  }

  #makeRoom (newcomer: Socket): void {
    const idle = this.#table.evictIdle()
    if (idle !== null) {
      const hasHead = idle.bytesRead > (this.#bytesAtIdle.get(idle) ?? 0)
      this.#options.onEvicted(hasHead ? 'unfinishedHead' : 'idleConnection')
      if (hasHead && idle.writable) idle.end(TIMEOUT_RESPONSE)
      idle.destroySoon()
    } else if (!this.#options.tryEndRequest()) {
      this.#options.onEvicted('newConnection')
      newcomer.destroy()
    }
  }
}
