import http from 'node:http'
import { createLogger } from 'knapweedshunt-logger'
import { createPlatformClient, DEFAULT_PLATFORM_TIMEOUT_MS } from 'knapweedshunt-platform'
import { ResourceStore } from 'knapweedshunt-resources'
import { createRpcHandler } from 'knapweedshunt-rpc'
import type { RpcHandler } from 'knapweedshunt-rpc'
import { closeServer, createIncarnation, createRng, limitParsing, listen, runEvery, sendJsonResponse, sleep } from 'knapweedshunt-utils'
import { ControlIo } from './controlIo.ts'
import { ControlNode } from './controlNode.ts'
import type { ControlOptions } from './controlOptions.ts'
import { createControlMethods } from './controlMethods.ts'
import { startFleetTasks } from './fleet/startFleetTasks.ts'
import { DEFAULT_NODE_OPTIONS } from './nodeOptions.ts'
import type { NodeOptions } from './nodeOptions.ts'
import { PeerClients } from './peerClients.ts'
import { RouterPusher } from './routerPusher.ts'

/** Running control process. */
export interface RunningControl {
  url: string
  controlNode: ControlNode
  /** Announces to peers that the VM is leaving, then closes all connections and the server. */
  stop (): Promise<void>
}

/** Starts the control process; resolves when it listens. Calls are refused with 503 until the node exists. */
export async function startControl (options: ControlOptions): Promise<RunningControl> {
  const log = createLogger('control')
  const platform = createPlatformClient({ url: options.platformUrl, timeoutMs: DEFAULT_PLATFORM_TIMEOUT_MS })
  const clients = new PeerClients(options.peerKey)
  const stopping = new AbortController()
  let rpc: RpcHandler | null = null
  const server = http.createServer((message, response) => rpc === null ? refuseWhileStarting(response) : rpc(message, response))
  limitParsing(server)
  const url = await listen(server, options.listen)
  const node = createNode(options, url)
  const routerPusher = new RouterPusher(node, clients.getOrOpen(options.routerUrl), log)
  const io = new ControlIo({ node, platform, clients, routerPusher, log })
  rpc = createRpcHandler(createControlMethods(node, io), options.peerKey)

  const ticking = runTicks(stopping.signal, options.exchangeIntervalMs, io)
  const fleet = startFleetTasks({
    self: node.vms.self.view,
    platform,
    store: new ResourceStore(platform),
    readResources: () => node.replica.snapshot,
    listViews: () => node.listEndpoints(),
    listVms: () => node.listVms(),
    log: createLogger('fleet'),
    signal: stopping.signal
  })
  log.info('Control listens.', { url })

  async function stop () {
    stopping.abort()
    await Promise.all([ticking, fleet])
    await io.handleEvent({ type: 'stopped' })
    clients.close()
    io.close()
    await closeServer(server)
    log.info('Control stopped.')
  }
  return { url, controlNode: node, stop }
}

function createNode (options: ControlOptions, controlUrl: string): ControlNode {
  const { vm, dataCentre, routerUrl, peerUrls } = options
  return new ControlNode({
    self: { vm, incarnation: createIncarnation(), dataCentre, controlUrl, routerUrl, state: 'live', appliedRevision: 0 },
    rng: createRng(createSeed()),
    createIncarnation,
    seedUrls: peerUrls,
    options: buildNodeOptions(options)
  })
}

/** Runs ticks at an interval without awaiting the actions of each: a hanging peer or endpoint must not delay the heartbeat. After the abort it waits for the actions in flight. */
async function runTicks (signal: AbortSignal, intervalMs: number, io: ControlIo): Promise<void> {
  const running = new Set<Promise<void>>()
  await sleep(createRng(createSeed()).drawInt(intervalMs), signal)
  await runEvery(intervalMs, signal, () => {
    const done = io.handleEvent({ type: 'tick' }).finally(() => running.delete(done))
    running.add(done)
  })
  await Promise.all(running)
}

function buildNodeOptions (options: ControlOptions): NodeOptions {
  const { exchangeIntervalMs, platformIntervalMs, loadIntervalMs, routerIntervalMs } = options
  return {
    ...DEFAULT_NODE_OPTIONS,
    tickMs: exchangeIntervalMs,
    platformPollMs: platformIntervalMs,
    loadPollTicks: Math.max(1, Math.round(loadIntervalMs / exchangeIntervalMs)),
    routerPushTicks: Math.max(1, Math.round(routerIntervalMs / exchangeIntervalMs))
  }
}

function createSeed (): number {
  return parseInt(createIncarnation().slice(0, 7), 16)
}

function refuseWhileStarting (response: http.ServerResponse): void {
  sendJsonResponse(response, 503, { error: 'Control is starting: ask again.' })
}
