import http from 'node:http'
import { createLogger } from 'knapweedshunt-logger'
import { createPlatformClient, DEFAULT_PLATFORM_TIMEOUT_MS } from 'knapweedshunt-platform'
import { DEFAULT_STORE_OPTIONS, ResourceStore } from 'knapweedshunt-resources'
import { createRpcClient } from 'knapweedshunt-rpc'
import { closeServer, limitParsing, listen } from 'knapweedshunt-utils'
import type { AdminOptions } from './adminOptions.ts'
import { serveAdmin } from './serveAdmin.ts'

const RPC_TIMEOUT_MS = 2_000

/** A running admin server with its base URL. */
export interface RunningAdmin {
  url: string
  stop (): Promise<void>
}

/** Starts the admin server; resolves once it accepts connections. `stop` ends open watches and closes the server. */
export async function startAdmin (options: AdminOptions): Promise<RunningAdmin> {
  const log = createLogger('admin')
  const platform = createPlatformClient({ url: options.platformUrl, timeoutMs: DEFAULT_PLATFORM_TIMEOUT_MS })
  const { peerKey: sharedKey } = options
  const control = createRpcClient({ url: options.controlUrl, sharedKey, timeoutMs: RPC_TIMEOUT_MS })
  const router = createRpcClient({ url: options.routerUrl, sharedKey, timeoutMs: RPC_TIMEOUT_MS })
  const context = { platform, store: new ResourceStore(platform, DEFAULT_STORE_OPTIONS, (table, key, reason) => log.error('Row of the resources cannot be read and counts as missing.', { table, key, reason })), control, router }
  const stopController = new AbortController()
  const server = http.createServer((message, response) => {
    if (message.url === '/healthz') return sendHealth(response)
    return serveAdmin(context, options.operatorKeys, message, response, stopController.signal)
  })
  limitParsing(server)
  const url = await listen(server, options.listen)
  log.info('Admin listens.', { url })
  async function stop () {
    stopController.abort()
    await closeServer(server)
    control.close()
    router.close()
    log.info('Admin stopped.')
  }
  return { url, stop }
}

function sendHealth (response: http.ServerResponse): void {
  response.writeHead(200).end('ok')
}
