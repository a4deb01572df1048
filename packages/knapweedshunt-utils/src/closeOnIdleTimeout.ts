import type http from 'node:http'
import type { Socket } from 'node:net'
import { waitForArrivals } from './waitForArrivals.ts'

/** Has a server close connections once their idle timeout has passed, unless bytes have arrived that were not read or parsed yet: after the process was held up, the timers of connections run before these are. */
export function closeOnIdleTimeout (server: http.Server): void {
  server.on('timeout', async (socket: Socket) => {
    const { bytesRead, readableLength } = socket
    await waitForArrivals(server)
    if (socket.bytesRead === bytesRead && socket.readableLength === readableLength) socket.destroy()
  })
}
