import { createIncarnation } from 'knapweedshunt-utils'
import { callAdmin } from './adminClient.ts'
import type { AdminAddress } from './adminClient.ts'

/** Puts the resources in one change and returns its revision. Admin rejects the change if `expectedRevision` is not null and a newer revision exists. */
export async function applyResources (address: AdminAddress, resources: unknown[], expectedRevision: number | null = null): Promise<number> {
  const body = { changeId: createIncarnation(), expectedRevision, ops: resources.map(resource => ({ type: 'put', resource })) }
  const answer = await callAdmin(address, 'POST', '/v1/changes', body)
  return (answer as { revision: number }).revision
}
