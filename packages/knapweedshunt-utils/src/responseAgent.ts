import http from 'node:http'
import type { NetConnectOpts, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { PacedSocket } from './pacedSocket.ts'

/** Pools client connections that cost little, whatever a server sends. */
export class ResponseAgent extends http.Agent {
  /** Called by Node.js for each new connection. */
  override createConnection (options: NetConnectOpts): Socket {
    return new PacedSocket(options).connect(options)
  }

  /** Called by Node.js when a connection becomes idle. */
  override keepSocketAlive (socket: Duplex): boolean {
    // The type of Node.js says that nothing is returned.
    return (socket as PacedSocket).tryReset() && super.keepSocketAlive(socket) as unknown as boolean
  }
}
