import net from 'node:net'
import { runEvery } from 'knapweedshunt-utils'
import type { EndpointReach } from './endpointReach.ts'

const PROBE_INTERVAL_MS = 300
const PROBE_TIMEOUT_MS = 300

/** Number of endpoints probed at a time; they take turns. */
const PROBES_PER_ROUND = 2

/** Probes the endpoints to which connections failed, until the signal aborts. */
export async function probeEndpoints (reach: EndpointReach, signal: AbortSignal): Promise<void> {
  let round = 0
  await runEvery(PROBE_INTERVAL_MS, signal, async () => {
    const entries = reach.listUnreached()
    const first = round++ * PROBES_PER_ROUND % Math.max(1, entries.length)
    await Promise.all([...entries.slice(first), ...entries.slice(0, first)].slice(0, PROBES_PER_ROUND).map(async ({ endpoint, url }) => {
      if (await isConnectable(url, signal)) reach.recordConnection(endpoint, true)
    }))
  })
}

function isConnectable (url: string, signal: AbortSignal): Promise<boolean> {
  const { hostname, port } = new URL(url)
  return new Promise(resolve => {
    const socket = net.connect({ host: hostname, port: Number(port || 80), timeout: PROBE_TIMEOUT_MS })
    const finish = (isOpen: boolean) => {
      signal.removeEventListener('abort', handleAbort)
      socket.destroy()
      resolve(isOpen)
    }
    const handleAbort = () => finish(false)
    signal.addEventListener('abort', handleAbort, { once: true })
    socket.once('connect', () => finish(true))
    socket.once('timeout', () => finish(false))
    socket.once('error', () => finish(false))
  })
}
