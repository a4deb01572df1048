import { DEFAULT_PLANNER_OPTIONS, describeDrain, describeRollout, EMPTY_ROLLOUT_ROW, listPoolGoals, buildRolloutKey, parseRolloutRow, ROLLOUT_TABLE } from 'knapweedshunt-fleet'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { EndpointView, Resource, ResourceOf, StatusCondition } from 'knapweedshunt-types'
import type { AdminContext } from './adminContext.ts'

/** Describes the progress of a roll-out or a drain; null for kinds of resource without progress. */
export async function readProgress (context: AdminContext, resource: Resource, resources: Resource[], endpointViews: EndpointView[]): Promise<StatusCondition | null> {
  switch (resource.kind) {
    case 'Endpoint':
      return describeDrain(resource.spec, endpointViews.find(view => view.endpoint === resource.name) ?? null)
    case 'WeightsRollout':
      return await readRolloutProgress(context, resource, resources)
    default:
      return null
  }
}

async function readRolloutProgress (context: AdminContext, rollout: ResourceOf<'WeightsRollout'>, resources: Resource[]): Promise<StatusCondition> {
  const goal = listPoolGoals(resources).find(entry => entry.pool === rollout.spec.pool)
  if (goal === undefined) return { type: 'Progress', status: 'false', reason: 'NoModelPool', message: `${rollout.spec.pool} is not a pool of model engines.` }
  if (goal.rollout?.name !== rollout.name) return { type: 'Progress', status: 'false', reason: 'Superseded', message: `${goal.rollout?.name} was written later and decides.` }
  try {
    const key = buildRolloutKey(goal.pool)
    const read = await context.platform.read(ROLLOUT_TABLE, key)
    const parsed = read === null ? null : parseRolloutRow(read)
    if (parsed?.type === 'unreadable') return { type: 'Progress', status: 'unknown', reason: 'RowUnreadable', message: `The row ${key} in the table ${ROLLOUT_TABLE} cannot be read: delete it.` }
    return describeRollout(goal, parsed?.value ?? EMPTY_ROLLOUT_ROW, DEFAULT_PLANNER_OPTIONS)
  } catch (error) {
    if (!(error instanceof PlatformUnreachableError)) throw error
    return { type: 'Progress', status: 'unknown', reason: 'PlatformNotReached', message: 'The platform did not answer.' }
  }
}
