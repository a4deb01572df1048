import http from 'node:http'
import { createLogger } from 'knapweedshunt-logger'
import { createPlatformClient, DEFAULT_PLATFORM_TIMEOUT_MS } from 'knapweedshunt-platform'
import { ResourceStore } from 'knapweedshunt-resources'
import { createRpcHandler } from 'knapweedshunt-rpc'
import type { RpcHandler } from 'knapweedshunt-rpc'
import { closeServer, createIncarnation, createRng, listen, runEvery, sendJson, sleep } from 'knapweedshunt-utils'
import { ControlIo } from './controlIo.ts'
import { ControlNode } from './controlNode.ts'
import type { ControlOptions } from './controlOptions.ts'
import { createControlMethods } from './controlMethods.ts'
import { startFleetTasks } from './fleet/startFleetTasks.ts'
import { DEFAULT_NODE_OPTIONS } from './nodeOptions.ts'
import type { NodeOptions } from './nodeOptions.ts'
import { PeerClients } from './peerClients.ts'
import { RouterFeed } from './routerFeed.ts'

/** A running control. */
export interface RunningControl {
  url: string
  state: ControlNode
  /** Tells peers that the VM leaves, then closes. */
  stop (): Promise<void>
}

/** Starts control. */
export async function startControl (options: ControlOptions): Promise<RunningControl> {
  const log = createLogger('control')
  const platform = createPlatformClient({ url: options.platformUrl, timeoutMs: DEFAULT_PLATFORM_TIMEOUT_MS })
  const clients = new PeerClients(options.peerKey)
  const stopping = new AbortController()
  let rpc: RpcHandler | null = null
  const server = http.createServer((message, response) => rpc === null ? refuseEarly(response) : rpc(message, response))
  const url = await listen(server, options.listen)
  const node = createNode(options, url)
  const feed = new RouterFeed(node, clients.open(options.routerUrl), log)
  const io = new ControlIo({ node, platform, clients, feed, log })
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
    await io.take({ type: 'stopped' })
    clients.close()
    io.close()
    await closeServer(server)
    log.info('Control stopped.')
  }
  return { url, state: node, stop }
}

function createNode (options: ControlOptions, controlUrl: string): ControlNode {
  const { vm, dataCentre, routerUrl, peerUrls } = options
  return new ControlNode({
    self: { vm, incarnation: createIncarnation(), dataCentre, controlUrl, routerUrl, state: 'live', appliedRevision: 0 },
    rng: createRng(drawSeed()),
    drawIncarnation: createIncarnation,
    seeds: peerUrls,
    options: convertOptions(options)
  })
}

/** Ticks do not wait for what they set off: a peer or endpoint that hangs must not slow the heartbeat. */
async function runTicks (signal: AbortSignal, intervalMs: number, io: ControlIo): Promise<void> {
  const running = new Set<Promise<void>>()
  await sleep(createRng(drawSeed()).int(intervalMs), signal)
  await runEvery(intervalMs, signal, () => {
    const done = io.take({ type: 'tick' }).finally(() => running.delete(done))
    running.add(done)
  })
  await Promise.all(running)
}

function convertOptions (options: ControlOptions): NodeOptions {
  const { exchangeIntervalMs, platformIntervalMs, loadIntervalMs, routerIntervalMs } = options
  return {
    ...DEFAULT_NODE_OPTIONS,
    tickMs: exchangeIntervalMs,
    platformMs: platformIntervalMs,
    loadTicks: Math.max(1, Math.round(loadIntervalMs / exchangeIntervalMs)),
    routerTicks: Math.max(1, Math.round(routerIntervalMs / exchangeIntervalMs))
  }
}

function drawSeed (): number {
  return parseInt(createIncarnation().slice(0, 7), 16)
}

function refuseEarly (response: http.ServerResponse): void {
  sendJson(response, 503, { error: 'Control is starting: ask again.' })
}
