import { sleep } from 'knapweedshunt-utils'
import type { AdminAddress } from './adminClient.ts'
import { CliError } from './cliError.ts'
import { isInForce, listResources } from './listResources.ts'

const POLL_INTERVAL_MS = 200

/** Waits until all selected resources are in force. Throws after `timeoutMs` a CliError that lists those that are not. */
export async function waitUntilInForce (address: AdminAddress, kind: string | null, name: string | null, timeoutMs: number): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs
  for (;;) {
    const items = await listResources(address, kind, name)
    const pendingItems = items.filter(item => !isInForce(item))
    if (items.length > 0 && pendingItems.length === 0) return
    if (performance.now() >= deadlineMs) throw new CliError(`Not in force after ${timeoutMs} ms: ${pendingItems.map(item => `${item.resource.kind}/${item.resource.name}`).join(', ') || 'no such resource'}.`)
    await sleep(POLL_INTERVAL_MS)
  }
}
