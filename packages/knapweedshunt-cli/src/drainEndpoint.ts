import type { AdminAddress } from './adminClient.ts'
import { applyResources } from './applyResources.ts'
import { CliError } from './cliError.ts'
import { listResources } from './listResources.ts'

/** Sets or clears an endpoint's `draining`; returns the revision. Throws CliError when there is no such endpoint. */
export async function drainEndpoint (address: AdminAddress, name: string, draining: boolean): Promise<number> {
  const [item] = await listResources(address, 'Endpoint', name)
  if (item === undefined || item.resource.kind !== 'Endpoint') throw new CliError(`There is no Endpoint ${name}: see "get Endpoint" for those there are.`)
  const { revision, ...resource } = item.resource
  return applyResources(address, [{ ...resource, spec: { ...resource.spec, draining } }])
}
