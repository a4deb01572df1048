import type http from 'node:http'

/** Interval between checks for idle connections. */
const IDLE_CHECK_INTERVAL_MS = 50

/** Stops accepting connections and closes each open one once it is idle; resolves when all are closed. */
export function closeServer (server: http.Server): Promise<void> {
  return new Promise(resolve => {
    const timer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS)
    server.close(() => {
      clearInterval(timer)
      resolve()
    })
    server.closeIdleConnections()
  })
}
