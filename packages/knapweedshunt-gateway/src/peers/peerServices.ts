import type http from 'node:http'
import { EndpointRelays } from 'knapweedshunt-membership'
import type { Platform } from 'knapweedshunt-platform'
import type { DataCentreId, VmId } from 'knapweedshunt-types'
import type { BodyMemory } from 'knapweedshunt-utils'
import type { ServerBounds } from '../callers/boundedServer.ts'
import type { VmRoster } from '../directory/vmRoster.ts'
import type { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import { computePoolReach, listPoolReaches } from '../endpoints/listPoolReaches.ts'
import { listLostEndpoints, summarizeLostEndpoints } from '../endpoints/lostEndpoints.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { ListenAddress } from '../ports/vmSettings.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import type { PeerAddress, PeerView } from './peerAddress.ts'
import { PeerClients } from './peerClients.ts'
import { PeerServer } from './peerServer.ts'
import type { RelayedRequest } from './relayedRequest.ts'
import { StreamOrigins } from './streamOrigins.ts'
import { StreamRowReader } from './streamRowReader.ts'
import { StreamRows } from './streamRows.ts'

/** Dependencies of {@link PeerServices}. */
export interface PeerServicesDependencies {
  platform: Platform
  vm: VmId
  dataCentre: DataCentreId
  incarnation: string
  endpointRegistry: EndpointRegistry
  roster: VmRoster
  decisionLog: DecisionLog
  metrics: GatewayMetrics
  /** Bounds of the server for other VMs. */
  serverBounds: ServerBounds
  /** Memory for the responses of other VMs. */
  responseMemory: BodyMemory
  /** Ends all calls to other VMs, and what is read and written for them. */
  signal: AbortSignal
  randomizeDelayMs (meanMs: number): number
  /** Time for which a stream may be taken up again, in milliseconds. */
  getStreamRetentionMs (): number
  /** Time since the endpoint table was last confirmed, in milliseconds. */
  getEndpointsAgeMs (): number
  /** Number of requests of other VMs in flight. */
  countRelayed (): number
  handleRelayed (request: http.IncomingMessage, response: http.ServerResponse, relayed: RelayedRequest): void
  /** Serves a poll of the tables. */
  handleTablePoll (params: unknown): Promise<unknown>
  /** Serves a VM that asks this one as an accountant. */
  handleUsageExchange (params: unknown): Promise<unknown>
  /** Serves an accountant that collects shares. */
  handleUsageCollect (params: unknown): unknown
}

/** What this VM asks other VMs for, and what it does for them: relays, and the software versions that began streams. */
export class PeerServices {
  readonly streamRows: StreamRows
  readonly streamOrigins: StreamOrigins
  readonly relays: EndpointRelays<PeerView>
  readonly #clients: PeerClients
  readonly #server: PeerServer

  constructor ({ platform, vm, dataCentre, incarnation, endpointRegistry, roster, decisionLog, metrics, serverBounds, responseMemory, signal, randomizeDelayMs, getStreamRetentionMs, getEndpointsAgeMs, countRelayed, handleRelayed, handleTablePoll, handleUsageExchange, handleUsageCollect }: PeerServicesDependencies) {
    this.#clients = new PeerClients(responseMemory)
    const storage = { platform, decisionLog, signal }
    this.streamRows = new StreamRows({
      ...storage,
      vm,
      incarnation,
      metrics,
      randomizeDelayMs,
      isSweeper: () => roster.isSharedWriter,
      getRetentionMs: getStreamRetentionMs,
      countVms: () => roster.countVms(),
      onRestored: streams => this.streamOrigins.applyRestored(streams)
    })
    this.streamOrigins = new StreamOrigins({
      vm,
      dataCentre,
      endpointRegistry,
      decisionLog,
      streamRows: this.streamRows,
      streamRowReader: new StreamRowReader({ ...storage, countVms: () => roster.countVms() }),
      signal,
      listPeers: () => roster.listPeers(),
      call: (view, method, params) => this.#clients.call(view, method, params),
      getRetentionMs: getStreamRetentionMs,
      isVersionsWriter: () => roster.isSharedWriter,
      writePoolVersions: row => roster.writePoolVersions(row),
      getEndpointsAgeMs
    })
    this.relays = new EndpointRelays({
      dataCentre,
      listReaches: () => listPoolReaches(endpointRegistry),
      computeReach: pool => computePoolReach(endpointRegistry, pool),
      listPeers: () => roster.listPeers(),
      listLost: () => listLostEndpoints(endpointRegistry),
      summarizeLost: lost => summarizeLostEndpoints(endpointRegistry, lost),
      askReach: (view, lost) => this.#clients.call(view, 'endpoints.reach', { lost }),
      countRelayed,
      onFailed: (peer, reason) => decisionLog.record({ type: 'relayFailed', vm: peer, reason })
    })
    this.#server = new PeerServer({
      'endpoints.reach': params => this.relays.handleReach(params),
      'streams.record': params => this.streamOrigins.handleRecord(params),
      'streams.versions': params => this.streamOrigins.handleVersions(params),
      'streams.find': params => this.streamOrigins.handleFind(params),
      'tables.changes': handleTablePoll,
      'usage.exchange': handleUsageExchange,
      'usage.collect': handleUsageCollect
    }, handleRelayed, serverBounds)
  }

  /** Calls a method of a VM. Throws RpcError. */
  async call (view: PeerView, method: string, params: unknown): Promise<unknown> {
    return await this.#clients.call(view, method, params)
  }

  /** Starts to listen for other VMs; returns the address under which they reach this VM. */
  async start (address: ListenAddress): Promise<PeerAddress> {
    return await this.#server.start(address)
  }

  async close (signal: AbortSignal): Promise<void> {
    await this.#server.close(signal)
    this.#clients.close()
  }
}
