import net from 'node:net'
import type { Socket } from 'node:net'
import type { ExecutionContext } from 'ava'

/** Head of a response in chunks. */
export const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

/** Starts a server that passes each request, told by the first bytes of its path, to `answer`. */
export async function startRawServer (t: ExecutionContext, answer: (socket: Socket, path: string) => void): Promise<{ port: number, sockets: Socket[] }> {
  const sockets: Socket[] = []
  const server = net.createServer({ noDelay: true }, socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => answer(socket, /^\w+ (\S+)/.exec(bytes.toString('latin1'))?.[1] ?? ''))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return { port: (server.address() as net.AddressInfo).port, sockets }
}

/** Writes a text again and again while its connection is open. */
export function writeEndlessly (socket: Socket, text: string): void {
  const writeOn = () => { while (!socket.destroyed && socket.write(text)); }
  socket.on('drain', writeOn)
  writeOn()
}
