import http from 'node:http'
import { closeServer, listen } from 'knapweedshunt-utils'
import type { ListenAddress } from '../ports/vmSettings.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'

/** A server for readiness checks or metrics, with its base URL. */
export interface AuxiliaryServer {
  server: http.Server
  url: string
}

/** Starts a server that answers 200 while this VM accepts callers, otherwise 503. */
export async function startReadinessServer (address: ListenAddress, isReady: () => boolean): Promise<AuxiliaryServer> {
  const server = http.createServer((_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'Content-Length': '0' }).end()
  })
  return { server, url: await listen(server, address) }
}

/** Starts a server for the metrics in the Prometheus text format. */
export async function startMetricsServer (address: ListenAddress, metrics: GatewayMetrics): Promise<AuxiliaryServer> {
  const server = http.createServer((_request, response) => {
    metrics.registry.metrics().then(
      text => response.writeHead(200, { 'Content-Type': metrics.registry.contentType }).end(text),
      error => response.writeHead(500).end((error as Error).message)
    )
  })
  return { server, url: await listen(server, address) }
}

/** Closes a server and its connections at once; null is ignored. */
export async function closeAuxiliaryServer (auxiliary: AuxiliaryServer | null): Promise<void> {
  if (auxiliary === null) return
  auxiliary.server.closeAllConnections()
  await closeServer(auxiliary.server)
}
