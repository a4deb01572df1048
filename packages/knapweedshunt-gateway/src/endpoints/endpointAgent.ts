import http from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Idle time of a connection whose endpoint names none, in milliseconds; short, since the endpoint may close it at any moment. */
const UNNAMED_IDLE_MS = 600

/** Share of the idle time named by the endpoint for which a connection is used again; the rest covers the way and late timers. */
const IDLE_SHARE = 0.6

const MS_PER_SECOND = 1_000

/** Keeps connections to endpoints, each shorter than its endpoint would, and ends those that bring bytes nobody asked for. */
export class EndpointAgent extends http.Agent {
  constructor () {
    super({ keepAlive: true, scheduling: 'lifo', noDelay: true })
  }

  /** Called by the runtime when a connection becomes idle. */
  override keepSocketAlive (socket: Duplex & { _httpMessage?: { res?: http.IncomingMessage } }): boolean {
    const named = /timeout=(\d+)/.exec(String(socket._httpMessage?.res?.headers['keep-alive'] ?? ''))?.[1]
    const idleMs = named === undefined ? UNNAMED_IDLE_MS : Number(named) * MS_PER_SECOND * IDLE_SHARE
    if (idleMs <= 0) return false
    const tcp = socket as Socket
    tcp.setKeepAlive(true, MS_PER_SECOND)
    tcp.setTimeout(idleMs)
    tcp.on('timeout', endIdle)
    tcp.on('data', endIdle)
    return true
  }

  /** Called by the runtime when an idle connection is used again. */
  override reuseSocket (socket: Duplex, request: http.ClientRequest): void {
    const tcp = socket as Socket
    tcp.removeListener('data', endIdle)
    tcp.removeListener('timeout', endIdle)
    tcp.setTimeout(0)
    super.reuseSocket(socket as Socket, request)
  }
}

function endIdle (this: Socket): void {
  this.destroy()
}
