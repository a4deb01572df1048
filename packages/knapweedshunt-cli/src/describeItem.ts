import type { ResourceItem } from './listResources.ts'

/** One line of a listing. */
export interface ItemSummary {
  kind: string
  name: string
  revision: number
  inForce: string
  message: string
}

/** Sums up a resource for a table. */
export function describeItem (item: ResourceItem): ItemSummary {
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
