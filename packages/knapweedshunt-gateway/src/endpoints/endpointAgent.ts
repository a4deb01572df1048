import http from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Idle timeout of a connection whose endpoint advertises none, in milliseconds; short, as the endpoint may close it at any time. */
const DEFAULT_IDLE_TIMEOUT_MS = 600

/** Fraction of the endpoint's advertised idle timeout during which a connection is reused; the rest covers network latency and late timers. */
const IDLE_TIMEOUT_SHARE = 0.6

const MS_PER_SECOND = 1_000

/** Pools connections to endpoints: closes idle ones before the endpoint does, and any on which unsolicited bytes arrive. */
export class EndpointAgent extends http.Agent {
  constructor () {
    super({ keepAlive: true, scheduling: 'lifo', noDelay: true })
  }

  /** Called by Node.js when a connection becomes idle. */
  override keepSocketAlive (socket: Duplex & { _httpMessage?: { res?: http.IncomingMessage } }): boolean {
    const advertisedS = /timeout=(\d+)/.exec(String(socket._httpMessage?.res?.headers['keep-alive'] ?? ''))?.[1]
    const idleTimeoutMs = advertisedS === undefined ? DEFAULT_IDLE_TIMEOUT_MS : Number(advertisedS) * MS_PER_SECOND * IDLE_TIMEOUT_SHARE
    if (idleTimeoutMs <= 0) return false
    const tcp = socket as Socket
    tcp.setKeepAlive(true, MS_PER_SECOND)
    tcp.setTimeout(idleTimeoutMs)
    tcp.on('timeout', destroyIdleSocket)
    tcp.on('data', destroyIdleSocket)
    return true
  }

  /** Called by Node.js when an idle connection is reused. */
  override reuseSocket (socket: Duplex, request: http.ClientRequest): void {
    const tcp = socket as Socket
    tcp.removeListener('data', destroyIdleSocket)
    tcp.removeListener('timeout', destroyIdleSocket)
    tcp.setTimeout(0)
    super.reuseSocket(socket as Socket, request)
  }
}

function destroyIdleSocket (this: Socket): void {
  this.destroy()
}
