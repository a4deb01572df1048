import type http from 'node:http'
import { sleep } from './sleep.ts'
import { waitForArrivals } from './waitForArrivals.ts'

/** Interval between checks for idle connections, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 50

/** Stops accepting connections and closes each open one once it is idle; what has arrived before is read and answered. Once the signal aborts, it closes all. Resolves when all are closed. */
export async function closeServer (server: http.Server, signal?: AbortSignal): Promise<void> {
  await waitForArrivals(server, signal)
  const closed = new AbortController()
  const closeAllConnections = () => server.closeAllConnections()
  server.close(() => closed.abort())
  if (signal?.aborted === true) closeAllConnections()
  signal?.addEventListener('abort', closeAllConnections, { once: true })
  while (!closed.signal.aborted) {
    await sleep(IDLE_CHECK_INTERVAL_MS, closed.signal)
    await waitForArrivals(server, signal)
    server.closeIdleConnections()
  }
  signal?.removeEventListener('abort', closeAllConnections)
}
