import type { PoolGoal } from 'knapweedshunt-fleet'
import type { Logger } from 'knapweedshunt-logger'
import type { ResourceStore } from 'knapweedshunt-resources'
import type { Resource, ResourceSnapshot, Revision } from 'knapweedshunt-types'

/**
 * Writes the weights of a completed roll-out into the pool resource, as one resource change. The change id names the
 * roll-out and its revision, so that the change is accepted only once, however often and by whichever VM it is sent. Returns
 * the revision of the change; null when it was not accepted or the request failed, or when the snapshot has no such model pool.
 * The caller must then read a newer revision before it tries again.
 */
export async function commitWeights (store: ResourceStore, snapshot: ResourceSnapshot, goal: PoolGoal, revision: Revision, log: Logger): Promise<Revision | null> {
  const pool = snapshot.resources.find(resource => resource.kind === 'EndpointPool' && resource.name === goal.pool)
  if (pool?.kind !== 'EndpointPool' || pool.spec.type !== 'model') return null
  const { weightsVersion, adapter } = goal.target
  const { adapter: _, ...spec } = pool.spec
  const resource: Resource = { ...pool, spec: { ...spec, weightsVersion, ...(adapter === '' ? {} : { adapter }) } }
  try {
    const result = await store.change({ changeId: `fleet/${goal.key}`, expectedRevision: revision, ops: [{ type: 'put', resource }] })
    return result.type === 'accepted' ? result.revision : null
  } catch (error) {
    log.warn('Committing the weights to the pool failed.', { pool: goal.pool, reason: (error as Error).message })
    return null
  }
}
