import http from 'node:http'
import { closeServer, listen } from 'knapweedshunt-utils'
import type { ListenAddress } from '../ports/vmSettings.ts'
import type { Figures } from '../records/figures.ts'

/** A server beside that for callers, with its base URL. */
export interface SideServer {
  server: http.Server
  url: string
}

/** Starts to answer whether this VM wants callers: 200 or 503. */
export async function startReadinessServer (address: ListenAddress, isReady: () => boolean): Promise<SideServer> {
  const server = http.createServer((_message, answer) => {
    answer.writeHead(isReady() ? 200 : 503, { 'Content-Length': '0' }).end()
  })
  return { server, url: await listen(server, address) }
}

/** Starts to serve the figures as text. */
export async function startMetricsServer (address: ListenAddress, figures: Figures): Promise<SideServer> {
  const server = http.createServer((_message, answer) => {
    figures.registry.metrics().then(
      text => answer.writeHead(200, { 'Content-Type': figures.registry.contentType }).end(text),
      error => answer.writeHead(500).end((error as Error).message)
    )
  })
  return { server, url: await listen(server, address) }
}

/** Closes a server at once. */
export async function closeSideServer (side: SideServer | null): Promise<void> {
  if (side === null) return
  side.server.closeAllConnections()
  await closeServer(side.server)
}
