import http from 'node:http'
import { closeServer, listen } from 'knapweedshunt-utils'
import type { ListenAddress } from '../ports/vmSettings.ts'
import type { Figures } from '../records/figures.ts'

/** Starts to answer whether this VM wants callers: 200 or 503. */
export async function startReadinessServer (address: ListenAddress, isReady: () => boolean): Promise<http.Server> {
  const server = http.createServer((_message, answer) => {
    answer.writeHead(isReady() ? 200 : 503, { 'Content-Length': '0' }).end()
  })
  await listen(server, address)
  return server
}

/** Starts to serve the figures as text. */
export async function startMetricsServer (address: ListenAddress, figures: Figures): Promise<http.Server> {
  const server = http.createServer((_message, answer) => {
    figures.registry.metrics().then(
      text => answer.writeHead(200, { 'Content-Type': figures.registry.contentType }).end(text),
      error => answer.writeHead(500).end((error as Error).message)
    )
  })
  await listen(server, address)
  return server
}

/** Closes a server at once. */
export async function closeSideServer (server: http.Server | null): Promise<void> {
  if (server === null) return
  server.closeAllConnections()
  await closeServer(server)
}
