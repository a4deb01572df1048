import http from 'node:http'
import { createLogger } from 'knapweedshunt-logger'
import { createPlatformClient, DEFAULT_PLATFORM_TIMEOUT_MS } from 'knapweedshunt-platform'
import { ResourceStore } from 'knapweedshunt-resources'
import { createRpcHandler } from 'knapweedshunt-rpc'
import { closeServer, createIncarnation, listen, runEvery } from 'knapweedshunt-utils'
import type { ExchangeRequest, RouterAck } from './controlMessages.ts'
import type { ControlOptions } from './controlOptions.ts'
import { ControlState } from './controlState.ts'
import { exchangePeers } from './exchangePeers.ts'
import { startFleetTasks } from './fleet/startFleetTasks.ts'
import { followPlatform } from './followPlatform.ts'
import { PeerClients } from './peerClients.ts'
import { pollLoads } from './pollLoads.ts'

/** A running control. */
export interface RunningControl {
  url: string
  state: ControlState
  /** Tells peers that the VM leaves, then closes. */
  stop (): Promise<void>
}

/** Starts control. */
export async function startControl (options: ControlOptions): Promise<RunningControl> {
  const log = createLogger('control')
  const platform = createPlatformClient({ url: options.platformUrl, timeoutMs: DEFAULT_PLATFORM_TIMEOUT_MS })
  const store = new ResourceStore(platform)
  const clients = new PeerClients(options.peerKey)
  const stopping = new AbortController()
  const server = http.createServer((message, response) => rpc(message, response))
  const url = await listen(server, options.listen)
  const incarnation = createIncarnation()
  const state = new ControlState({
    vm: options.vm,
    incarnation,
    dataCentre: options.dataCentre,
    controlUrl: url,
    routerUrl: options.routerUrl,
    state: 'live',
    appliedRevision: 0
  })
  const rpc = createRpcHandler({
    'control.exchange': params => state.answerExchange(params as ExchangeRequest),
    'control.status': () => state.buildRouterSnapshot()
  }, options.peerKey)

  async function pushRouter () {
    try {
      const ack = await clients.open(options.routerUrl).call('router.snapshot', state.buildRouterSnapshot()) as RouterAck
      state.vms.setAppliedRevision(ack.appliedRevision)
    } catch (error) {
      log.warn('Router not reached.', { reason: (error as Error).message })
    }
  }

  const tasks = [
    runEvery(options.platformIntervalMs, stopping.signal, () => followPlatform(state, platform, store, log)),
    runEvery(options.exchangeIntervalMs, stopping.signal, () => exchangePeers(state, clients)),
    runEvery(options.loadIntervalMs, stopping.signal, () => pollLoads(state, options.dataCentre)),
    runEvery(options.routerIntervalMs, stopping.signal, pushRouter),
    startFleetTasks({ self: { ...options, incarnation }, platform, store, readResources: () => state.replica.snapshot, listViews: () => state.endpoints.listEndpoints(), listVms: () => state.vms.listVms(), log: createLogger('fleet'), signal: stopping.signal })
  ]
  log.info('Control listens.', { url })

  async function stop () {
    stopping.abort()
    await Promise.all(tasks)
    state.vms.setLeaving()
    await exchangePeers(state, clients)
    clients.close()
    await closeServer(server)
    log.info('Control stopped.')
  }
  return { url, state, stop }
}
