import type { ModelPoolSpec, PoolName, Resource, ResourceOf, Revision } from 'knapweedshunt-types'
import type { WeightsTarget } from './weightsTarget.ts'

/** The roll-out that applies to a pool. */
export interface RolloutRef {
  name: string
  revision: Revision
  paused: boolean
  undo: boolean
}

/** Desired state of a pool's endpoints. */
export interface PoolGoal {
  pool: PoolName
  spec: ModelPoolSpec
  /** The pool's own weights. */
  inForce: WeightsTarget
  /** The roll-out's weights; the pool's own when there is no roll-out or it is being undone. */
  target: WeightsTarget
  rollout: RolloutRef | null
  /** Revision of the pool resource. */
  revision: Revision
  /** Identifies the goal; changes with every revision of the roll-out, or of the pool when there is no roll-out. */
  key: string
}

/** Builds the goal of every model pool. Of several roll-outs for one pool, the one written last applies. */
export function listPoolGoals (resources: Resource[]): PoolGoal[] {
  const rollouts = resources.filter(resource => resource.kind === 'WeightsRollout')
  return resources
    .filter(resource => resource.kind === 'EndpointPool')
    .flatMap(pool => pool.spec.type === 'model' ? [buildGoal(pool, pool.spec, findDecidingRollout(rollouts, pool.name))] : [])
}

function findDecidingRollout (rollouts: Array<ResourceOf<'WeightsRollout'>>, pool: PoolName): ResourceOf<'WeightsRollout'> | null {
  const poolRollouts = rollouts.filter(rollout => rollout.spec.pool === pool)
  return poolRollouts.sort((a, b) => b.revision - a.revision || (a.name < b.name ? -1 : 1)).at(0) ?? null
}

function buildGoal (pool: ResourceOf<'EndpointPool'>, spec: ModelPoolSpec, rollout: ResourceOf<'WeightsRollout'> | null): PoolGoal {
  const inForce: WeightsTarget = { weightsVersion: spec.weightsVersion, adapter: spec.adapter ?? '' }
  if (rollout === null) return { pool: pool.name, spec, inForce, target: inForce, rollout: null, revision: pool.revision, key: buildPoolGoalKey(pool.revision) }
  const { weightsVersion, adapter, paused, undo } = rollout.spec
  const target = undo ? inForce : { weightsVersion, adapter: adapter ?? '' }
  const ref: RolloutRef = { name: rollout.name, revision: rollout.revision, paused, undo }
  return { pool: pool.name, spec, inForce, target, rollout: ref, revision: pool.revision, key: `rollout/${rollout.name}@${rollout.revision}` }
}

/** Returns the goal without its roll-out when that is recorded as complete: the target is then the pool's own weights, even if an operator changes these later. */
export function applyCompletedRollout (goal: PoolGoal, completedKey: string): PoolGoal {
  if (goal.key !== completedKey) return goal
  return { ...goal, target: goal.inForce, rollout: null, key: buildPoolGoalKey(goal.revision) }
}

function buildPoolGoalKey (revision: Revision): string {
  return `pool@${revision}`
}
