import { sleep } from 'knapweedshunt-utils'
import type { AdminAddress } from './adminClient.ts'
import { CliError } from './cliError.ts'
import { isInForce, listResources } from './listResources.ts'

const POLL_MS = 200

/** Waits until all selected resources are in force. Throws CliError after `timeoutMs`, naming those that are not. */
export async function waitInForce (address: AdminAddress, kind: string | null, name: string | null, timeoutMs: number): Promise<void> {
  const endAtMs = performance.now() + timeoutMs
  for (;;) {
    const items = await listResources(address, kind, name)
    const waiting = items.filter(item => !isInForce(item))
    if (items.length > 0 && waiting.length === 0) return
    if (performance.now() >= endAtMs) throw new CliError(`Not in force after ${timeoutMs} ms: ${waiting.map(item => `${item.resource.kind}/${item.resource.name}`).join(', ') || 'no such resource'}.`)
    await sleep(POLL_MS)
  }
}
