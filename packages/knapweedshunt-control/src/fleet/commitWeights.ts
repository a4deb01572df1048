import type { PoolGoal } from 'knapweedshunt-fleet'
import type { Logger } from 'knapweedshunt-logger'
import type { ResourceStore } from 'knapweedshunt-resources'
import type { Resource, ResourceSnapshot, Revision } from 'knapweedshunt-types'

/**
 * Makes a complete roll-out's weights the pool's own, as one resource change. The change id names the roll-out and its
 * revision, so that it is accepted once whoever asks and however often. Returns its revision, null when a newer revision must be read first.
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
    log.warn('Weights not committed.', { pool: goal.pool, reason: (error as Error).message })
    return null
  }
}
