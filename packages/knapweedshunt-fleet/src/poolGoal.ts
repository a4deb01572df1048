import type { ModelPoolSpec, PoolName, Resource, ResourceOf, Revision } from 'knapweedshunt-types'
import type { WeightsTarget } from './weightsTarget.ts'

/** The roll-out that decides for a pool. */
export interface RolloutRef {
  name: string
  revision: Revision
  paused: boolean
  undo: boolean
}

/** What a pool's endpoints are to have. */
export interface PoolGoal {
  pool: PoolName
  spec: ModelPoolSpec
  /** The pool's own weights. */
  inForce: WeightsTarget
  /** The roll-out's weights; the pool's own without a roll-out, or when it is undone. */
  target: WeightsTarget
  rollout: RolloutRef | null
  /** Revision of the pool resource. */
  revision: Revision
  /** Differs whenever an operator asked for something else. */
  key: string
}

/** Builds the goal of every model pool. Of several roll-outs for one pool the one written last decides. */
export function listPoolGoals (resources: Resource[]): PoolGoal[] {
  const rollouts = resources.filter(resource => resource.kind === 'WeightsRollout')
  return resources
    .filter(resource => resource.kind === 'EndpointPool')
    .flatMap(pool => pool.spec.type === 'model' ? [buildGoal(pool, pool.spec, findRollout(rollouts, pool.name))] : [])
}

function findRollout (rollouts: Array<ResourceOf<'WeightsRollout'>>, pool: PoolName): ResourceOf<'WeightsRollout'> | null {
  const own = rollouts.filter(rollout => rollout.spec.pool === pool)
  return own.sort((a, b) => b.revision - a.revision || (a.name < b.name ? -1 : 1)).at(0) ?? null
}

function buildGoal (pool: ResourceOf<'EndpointPool'>, spec: ModelPoolSpec, rollout: ResourceOf<'WeightsRollout'> | null): PoolGoal {
  const inForce: WeightsTarget = { weightsVersion: spec.weightsVersion, adapter: spec.adapter ?? '' }
  if (rollout === null) return { pool: pool.name, spec, inForce, target: inForce, rollout: null, revision: pool.revision, key: namePoolKey(pool.revision) }
  const { weightsVersion, adapter, paused, undo } = rollout.spec
  const target = undo ? inForce : { weightsVersion, adapter: adapter ?? '' }
  const ref: RolloutRef = { name: rollout.name, revision: rollout.revision, paused, undo }
  return { pool: pool.name, spec, inForce, target, rollout: ref, revision: pool.revision, key: `rollout/${rollout.name}@${rollout.revision}` }
}

/** The goal once its roll-out is complete: the pool's own weights, also when an operator changes these later. */
export function settleGoal (goal: PoolGoal, completedKey: string): PoolGoal {
  if (goal.key !== completedKey) return goal
  return { ...goal, target: goal.inForce, rollout: null, key: namePoolKey(goal.revision) }
}

function namePoolKey (revision: Revision): string {
  return `pool@${revision}`
}
