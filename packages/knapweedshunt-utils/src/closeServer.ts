import type http from 'node:http'

/** Time between two looks for connections that became idle, in milliseconds. */
const IDLE_CHECK_MS = 50

/** Stops accepting, waits for the busy connections and closes each one as soon as it is idle. */
export function closeServer (server: http.Server): Promise<void> {
  return new Promise(resolve => {
    const timer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_MS)
    server.close(() => {
      clearInterval(timer)
      resolve()
    })
    server.closeIdleConnections()
  })
}
