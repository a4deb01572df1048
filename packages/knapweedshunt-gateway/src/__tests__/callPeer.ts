import type { StreamOrigins } from '../peers/streamOrigins.ts'

const CALL_TIMEOUT_MS = 250

/** Time until a call arrives, in milliseconds. */
const CALL_MS = 3

/** Simulates a call to another VM about streams; `findPeer` returns what the VM knows as the call arrives, or null if it does not arrive. */
export async function callPeer (findPeer: () => StreamOrigins | null, method: string, params: unknown): Promise<unknown> {
  await new Promise(resolve => setTimeout(resolve, CALL_MS))
  const origins = findPeer()
  if (origins === null) {
    await new Promise(resolve => setTimeout(resolve, CALL_TIMEOUT_MS))
    throw new Error('no answer')
  }
  switch (method) {
    case 'streams.record': return origins.handleRecord(params)
    case 'streams.versions': return origins.handleVersions(params)
    default: return origins.handleFind(params)
  }
}
