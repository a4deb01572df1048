import type { AdminAddress } from './adminClient.ts'
import { applyResources } from './applyResources.ts'
import { CliError } from './cliError.ts'
import { listResources } from './listResources.ts'

/** Sets or clears `draining` of an endpoint and returns the new revision. Throws CliError if the endpoint does not exist. */
export async function drainEndpoint (address: AdminAddress, name: string, draining: boolean): Promise<number> {
  const [item] = await listResources(address, 'Endpoint', name)
  if (item === undefined || item.resource.kind !== 'Endpoint') throw new CliError(`There is no Endpoint ${name}: run "get Endpoint" to list them.`)
  const { revision, ...resource } = item.resource
  return applyResources(address, [{ ...resource, spec: { ...resource.spec, draining } }])
}
