import type { Socket } from 'node:net'

/** Number of requests after which a connection is not used again, so that its ids need bounded memory. */
const MAX_REQUESTS = 512

/** Ids of the requests that each connection has carried. An endpoint may write the response to an earlier request once more, and only the id tells the two apart. */
export class CarriedIds {
  readonly #idsBySocket = new WeakMap<Socket, Set<string>>()

  /** Records that a connection carries a request. */
  record (socket: Socket, requestId: string): void {
    const ids = this.#idsBySocket.get(socket) ?? new Set()
    this.#idsBySocket.set(socket, ids.add(requestId))
  }

  /** Whether a connection has carried a request with the id. */
  has (socket: Socket, requestId: string): boolean {
    return this.#idsBySocket.get(socket)?.has(requestId) ?? false
  }

  /** Whether a connection has carried so many requests that it is not used again. */
  isFull (socket: Socket): boolean {
    return (this.#idsBySocket.get(socket)?.size ?? 0) >= MAX_REQUESTS
  }
}
