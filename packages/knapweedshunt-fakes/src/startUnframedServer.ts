import net from 'node:net'
import type { Socket } from 'node:net'

/** How an {@link UnframedServer} ends the connection behind the last bytes of an answer. */
export const UNFRAMED_END = {
  /** A reset that the client polls together with the last bytes. */
  resetAtOnce: 'reset at once',
  /** A reset after the client has read the last bytes. */
  resetLater: 'reset later',
  closed: 'closed',
  /** Only its own side is closed. */
  halfClosed: 'half closed',
  closedThenReset: 'closed, then reset',
  /** The connection stays open. */
  none: 'none'
} as const

/** One of {@link UNFRAMED_END}. */
export type UnframedEnd = typeof UNFRAMED_END[keyof typeof UNFRAMED_END]

/** What an {@link UnframedServer} answers to each request. */
export interface UnframedAnswer {
  /** 200 if not set. */
  status?: number
  headers?: Record<string, string>
  body: string
  end: UnframedEnd
}

/** A server whose answers have neither a length nor chunks. */
export interface UnframedServer {
  url: string
  /** Number of requests received. */
  readonly requests: number
  stop (): void
}

const RESET_DELAY_MS = 5
const STATUS_DIGITS = 3

/** Starts a server on an ephemeral port. Each request must arrive in one piece. */
export async function startUnframedServer ({ status = 200, headers = {}, body, end }: UnframedAnswer): Promise<UnframedServer> {
  const sockets = new Set<Socket>()
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  let requests = 0
  const server = net.createServer({ allowHalfOpen: true }, socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => {
      requests++
      socket.write(`HTTP/1.1 ${String(status).padStart(STATUS_DIGITS, '0')} Status\r\n${fields}\r\n${body}`)
      endConnection(socket, end)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    get requests () { return requests },
    stop: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

function endConnection (socket: Socket, end: UnframedEnd): void {
  if (end === UNFRAMED_END.resetAtOnce) socket.resetAndDestroy()
  // The immediate lets a client of this process read first, also if the event loop was held up.
  if (end === UNFRAMED_END.resetLater) setTimeout(() => setImmediate(() => socket.resetAndDestroy()), RESET_DELAY_MS)
  if (end === UNFRAMED_END.closed) socket.end(() => socket.destroy())
  if (end === UNFRAMED_END.halfClosed) socket.end()
  if (end === UNFRAMED_END.closedThenReset) socket.end(() => socket.resetAndDestroy())
}
