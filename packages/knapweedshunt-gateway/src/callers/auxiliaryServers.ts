import type { ListenAddress } from '../ports/vmSettings.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { BoundedServer } from './boundedServer.ts'
import type { ServerBounds } from './boundedServer.ts'

/** Base URLs of the auxiliary servers; `metrics` is null if that server is not configured. */
export interface AuxiliaryAddresses {
  readiness: string
  metrics: string | null
}

/** Dependencies of {@link AuxiliaryServers}. */
export interface AuxiliaryServersDependencies {
  metrics: GatewayMetrics
  readinessBounds: ServerBounds
  metricsBounds: ServerBounds
  /** Whether this VM accepts callers. */
  isReady (): boolean
}

/** Servers for readiness checks and metrics. */
export class AuxiliaryServers {
  readonly #readiness: BoundedServer
  readonly #metrics: BoundedServer

  /** Readiness checks are answered with 200 while this VM accepts callers, otherwise with 503; metrics have the Prometheus text format. */
  constructor ({ metrics, readinessBounds, metricsBounds, isReady }: AuxiliaryServersDependencies) {
    this.#readiness = new BoundedServer({}, readinessBounds, (_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { 'Content-Length': '0' }).end()
    })
    this.#metrics = new BoundedServer({}, metricsBounds, (_request, response) => {
      metrics.registry.metrics().then(
        text => response.writeHead(200, { 'Content-Type': metrics.registry.contentType }).end(text),
        error => response.writeHead(500).end((error as Error).message)
      )
    })
  }

  /** Starts the servers; without an address there is none for metrics. */
  async start (readiness: ListenAddress, metrics: ListenAddress | null): Promise<AuxiliaryAddresses> {
    return { readiness: await this.#readiness.start(readiness), metrics: metrics === null ? null : await this.#metrics.start(metrics) }
  }

  /** Closes the servers and their connections at once; requests that have just arrived are answered, until the signal aborts. */
  async close (signal: AbortSignal): Promise<void> {
    for (const server of [this.#readiness, this.#metrics]) await server.close(signal)
  }
}
