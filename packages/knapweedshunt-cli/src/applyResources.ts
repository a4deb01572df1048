import { createIncarnation } from 'knapweedshunt-utils'
import { callAdmin } from './adminClient.ts'
import type { AdminAddress } from './adminClient.ts'

/** Applies the resources as one change; returns its revision. */
export async function applyResources (address: AdminAddress, resources: unknown[], expectedRevision: number | null = null): Promise<number> {
  const body = { changeId: createIncarnation(), expectedRevision, ops: resources.map(resource => ({ type: 'put', resource })) }
  const answer = await callAdmin(address, 'POST', '/v1/changes', body)
  return (answer as { revision: number }).revision
}
