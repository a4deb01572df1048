import type http from 'node:http'
import { sleep } from './sleep.ts'
import { waitForArrivals } from './waitForArrivals.ts'

/** Interval between checks for idle connections, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 50

/** Stops accepting connections and closes each open one once it is idle; what has arrived before is read and answered. Resolves when all are closed. */
export async function closeServer (server: http.Server): Promise<void> {
  await waitForArrivals(server)
  const closed = new AbortController()
  server.close(() => closed.abort())
  while (!closed.signal.aborted) {
    await sleep(IDLE_CHECK_INTERVAL_MS, closed.signal)
    await waitForArrivals(server)
    server.closeIdleConnections()
  }
}
