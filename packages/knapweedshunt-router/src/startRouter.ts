import http from 'node:http'
import { createLogger } from 'knapweedshunt-logger'
import { RELAY_HEADER } from 'knapweedshunt-membership'
import { createRpcHandler } from 'knapweedshunt-rpc'
import { closeServer, createIncarnation, limitParsing, listen, sendJsonResponse } from 'knapweedshunt-utils'
import { CallerServer } from './callerServer.ts'
import { DataPath } from './dataPath.ts'
import { createGuardedPlatform } from './orders/createGuardedPlatform.ts'
import { explainRequest } from './explainRequest.ts'
import { createOrderRpcMethods } from './orders/createOrderRpcMethods.ts'
import { RouterOrders } from './orders/routerOrders.ts'
import type { RouterOptions } from './routerOptions.ts'
import { serveRelayed } from './relays/serveRelayed.ts'
import { serveCaller } from './serveCaller.ts'

/** A running router and the URLs it listens on. */
export interface RunningRouter {
  callerUrl: string
  peerUrl: string
  dataPath: DataPath
  /** Refuses new requests, waits for those in flight, then closes. */
  stop (): Promise<void>
}

/** Starts a router; it becomes ready with the first snapshot from control. */
export async function startRouter (options: RouterOptions): Promise<RunningRouter> {
  const incarnation = createIncarnation()
  const log = createLogger('router')
  const platform = createGuardedPlatform(options)
  const orders = new RouterOrders({ incarnation, platform, sharedKey: options.peerKey, getPeerUrl: () => peerUrl })
  const dataPath = new DataPath(options, orders, log)
  const callerServer: CallerServer = new CallerServer({
    requestTimeoutMs: options.requestTimeoutMs,
    drainGraceMs: options.drainGraceMs,
    log,
    serve: async (message, response): Promise<void> => {
      if (message.url === '/healthz') return sendJsonResponse(response, 200, { ok: true })
      if (message.url === '/readyz') return sendReadiness(response, dataPath.resourceIndex !== null && !callerServer.isStopping)
      return serveCaller(dataPath, options.maxBodyBytes, message, response)
    }
  })
  const rpc = createRpcHandler({
    'router.snapshot': params => ({ incarnation, appliedRevision: dataPath.applySnapshot(params) }),
    'router.views': params => ({ incarnation, appliedRevision: dataPath.applyViews(params) }),
    'router.marks': params => dataPath.peerExchange.handleMarks(params),
    'router.parts': params => dataPath.peerExchange.handleParts(params),
    'router.limits': params => dataPath.peerExchange.handleLimits(params),
    'router.demand': params => dataPath.peerExchange.handleDemand(params),
    'router.versions': params => dataPath.peerExchange.handleVersions(params),
    'router.reach': () => dataPath.relays.handleReach(),
    'router.explain': params => explainRequest(dataPath, params),
    'router.figures': () => dataPath.metrics.listRows(),
    ...createOrderRpcMethods(dataPath)
  }, options.peerKey)
  const peerServer = http.createServer((message, response) => {
    if (message.headers[RELAY_HEADER.key] === undefined) return rpc(message, response)
    return serveRelayed(dataPath, { maxBodyBytes: options.maxBodyBytes, isStopping: callerServer.isStopping }, message, response)
  })
  limitParsing(peerServer)

  const callerUrl = await callerServer.listen(options.caller)
  const peerUrl = await listen(peerServer, options.peer)
  log.info('Router listens.', { callerUrl, peerUrl })

  async function stop () {
    log.info('Router is stopping.')
    await callerServer.stop()
    await orders.close()
    await closeServer(peerServer)
    await dataPath.close()
    log.info('Router stopped.')
  }
  return { callerUrl, peerUrl, dataPath, stop }
}

function sendReadiness (response: http.ServerResponse, ready: boolean): void {
  sendJsonResponse(response, ready ? 200 : 503, { ready })
}
