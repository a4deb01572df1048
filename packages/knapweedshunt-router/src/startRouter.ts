import http from 'node:http'
import { createLogger } from 'knapweedshunt-logger'
import { createRpcHandler } from 'knapweedshunt-rpc'
import { closeServer, createIncarnation, listen, sendJson } from 'knapweedshunt-utils'
import { CallerServer } from './callerServer.ts'
import { DataPath } from './dataPath.ts'
import { createGuardedClient } from './orders/createGuardedClient.ts'
import { explainRequest } from './explainRequest.ts'
import { createOrderRpc } from './orders/orderRpc.ts'
import { RouterOrders } from './orders/routerOrders.ts'
import type { RouterOptions } from './routerOptions.ts'
import { serveCaller } from './serveCaller.ts'

/** A running router and the URLs it listens on. */
export interface RunningRouter {
  callerUrl: string
  peerUrl: string
  path: DataPath
  /** Refuses new requests, waits for those in flight, then closes. */
  stop (): Promise<void>
}

/** Starts a router; it becomes ready with the first snapshot from control. */
export async function startRouter (options: RouterOptions): Promise<RunningRouter> {
  const incarnation = createIncarnation()
  const log = createLogger('router')
  const platform = createGuardedClient(options)
  const orders = new RouterOrders({ incarnation, platform, sharedKey: options.peerKey, getPeerUrl: () => peerUrl })
  const path = new DataPath(options, orders, log)
  const callerServer: CallerServer = new CallerServer({
    requestTimeoutMs: options.requestTimeoutMs,
    drainGraceMs: options.drainGraceMs,
    serve: async (message, response): Promise<void> => {
      if (message.url === '/healthz') return sendJson(response, 200, { ok: true })
      if (message.url === '/readyz') return sendReadiness(response, path.index !== null && !callerServer.isStopping)
      return serveCaller(path, options.maxBodyBytes, message, response)
    }
  })
  const rpc = createRpcHandler({
    'router.snapshot': params => ({ incarnation, appliedRevision: path.takeSnapshot(params) }),
    'router.views': params => ({ incarnation, appliedRevision: path.takeViews(params) }),
    'router.marks': params => path.peerExchange.handleMarks(params),
    'router.demand': params => path.peerExchange.handleDemand(params),
    'router.explain': params => explainRequest(path, params),
    'router.figures': () => path.figures.listRows(),
    ...createOrderRpc(path)
  }, options.peerKey)
  const peerServer = http.createServer((message, response) => rpc(message, response))

  const callerUrl = await callerServer.listen(options.caller)
  const peerUrl = await listen(peerServer, options.peer)
  log.info('Router is listening.', { callerUrl, peerUrl })

  async function stop () {
    log.info('Router is stopping.')
    await callerServer.stop()
    await orders.close()
    await closeServer(peerServer)
    await path.close()
    log.info('Router stopped.')
  }
  return { callerUrl, peerUrl, path, stop }
}

function sendReadiness (response: http.ServerResponse, ready: boolean): void {
  sendJson(response, ready ? 200 : 503, { ready })
}
