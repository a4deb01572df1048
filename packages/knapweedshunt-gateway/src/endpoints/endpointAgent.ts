import type http from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { PacedSocket, ResponseAgent } from 'knapweedshunt-utils'
import { CarriedIds } from './carriedIds.ts'
import { parseIdleTimeoutMs } from './parseIdleTimeoutMs.ts'

/** Idle timeout of a connection whose endpoint advertises none, in milliseconds; short, as the endpoint may close it at any time. */
const DEFAULT_IDLE_TIMEOUT_MS = 600

/** Fraction of the endpoint's advertised idle timeout during which a connection is reused; the rest covers network latency and late timers. */
const IDLE_TIMEOUT_SHARE = 0.6

/** Delay of the operating system's keep-alive probes, in milliseconds. */
const PROBE_DELAY_MS = 1_000

/** Pools connections to endpoints: closes idle ones before the endpoint does, and any on which unsolicited bytes arrive. An id is sent once on each connection. */
export class EndpointAgent extends ResponseAgent {
  readonly #carriedIds = new CarriedIds()
  readonly #openedAtMs = new WeakMap<Socket, number>()
  #partCount = 0
  #partBytes = 0

  constructor () {
    super({ keepAlive: true, scheduling: 'lifo', noDelay: true })
  }

  /** Number of parts in which the bodies of all responses arrived so far: at least one for each chunk and each read. */
  get partCount (): number {
    return this.#partCount
  }

  /** Size of these parts, in bytes. */
  get partBytes (): number {
    return this.#partBytes
  }

  /** Counts a part of the body of a response. */
  recordPart (bytes: number): void {
    this.#partCount++
    this.#partBytes += bytes
  }

  /** Whether an idle connection to the address has carried a request with the id, so that this one needs a connection of its own. */
  hasCarried (host: string, port: number, requestId: string): boolean {
    return this.freeSockets[this.getName({ host, port })]?.some(socket => this.#carriedIds.has(socket, requestId)) ?? false
  }

  /** Records that a connection carries a request. */
  recordCarried (socket: Socket, requestId: string): void {
    this.#carriedIds.record(socket, requestId)
  }

  /** Records that a connection was established now. */
  recordOpened (socket: Socket): void {
    this.#openedAtMs.set(socket, performance.now())
  }

  /** Returns the monotonic time at which a connection was established, in milliseconds; null if that is not known. */
  findOpenedAtMs (socket: Socket): number | null {
    return this.#openedAtMs.get(socket) ?? null
  }

  /** Called by Node.js when a connection becomes idle. */
  override keepSocketAlive (socket: Duplex & { _httpMessage?: { res?: http.IncomingMessage } }): boolean {
    const advertisedMs = parseIdleTimeoutMs(String(socket._httpMessage?.res?.headers['keep-alive'] ?? ''))
    const idleTimeoutMs = advertisedMs === null ? DEFAULT_IDLE_TIMEOUT_MS : advertisedMs * IDLE_TIMEOUT_SHARE
    const tcp = socket as Socket
    if (tcp instanceof PacedSocket && !tcp.tryReset()) return false
    if (idleTimeoutMs <= 0 || this.#carriedIds.isFull(tcp)) return false
    tcp.setKeepAlive(true, PROBE_DELAY_MS)
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
