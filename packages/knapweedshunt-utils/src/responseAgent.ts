import http from 'node:http'
import type { NetConnectOpts, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { PacedSocket } from './pacedSocket.ts'
import type { PacedSocketOptions } from './pacedSocket.ts'

/** Options of `node:http`, and how much one read of a connection takes. */
export type ResponseAgentOptions = http.AgentOptions & Pick<PacedSocketOptions, 'maxReadBytes'>

/** Pools client connections that cost little, whatever a server sends. */
export class ResponseAgent extends http.Agent {
  readonly #socketOptions: Pick<PacedSocketOptions, 'maxReadBytes'>

  constructor ({ maxReadBytes, ...options }: ResponseAgentOptions = {}) {
    super(options)
    this.#socketOptions = { maxReadBytes }
  }

  /** Called by Node.js for each new connection. */
  override createConnection (options: NetConnectOpts): Socket {
    return new PacedSocket({ ...options, ...this.#socketOptions }).connect(options)
  }

  /** Called by Node.js when a connection becomes idle. */
  override keepSocketAlive (socket: Duplex): boolean {
    // The type of Node.js says that nothing is returned.
    return (socket as PacedSocket).tryReset() && super.keepSocketAlive(socket) as unknown as boolean
  }
}
