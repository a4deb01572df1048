import type { ResourceItem } from './listResources.ts'

/** One row of the resource table printed by `get` and `watch`. */
export interface ItemSummary {
  kind: string
  name: string
  revision: number
  inForce: string
  message: string
}

/** Summarises a resource and its status; the message of the condition `Progress` takes precedence over that of `InForce`. */
export function summariseItem (item: ResourceItem): ItemSummary {
  const inForce = item.status.conditions.find(condition => condition.type === 'InForce')
  const progress = item.status.conditions.find(condition => condition.type === 'Progress')
  return {
    kind: item.resource.kind,
    name: item.resource.name,
    revision: item.resource.revision,
    inForce: inForce?.status ?? 'unknown',
    message: progress?.message ?? inForce?.message ?? ''
  }
}
