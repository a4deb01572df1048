import type http from 'node:http'

/** Stops accepting, closes idle connections and waits for the busy ones. */
export function closeServer (server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
}
