import type { Deployment } from '../model/deployments.ts'
import type { PolicyFactory } from '../model/simulate.ts'
import { AllKnowingPolicy, AllKnowingReusePolicy } from './allKnowingPolicy.ts'
import { LeastLoadedPolicy, RandomPolicy, SingleLevelPolicy, StickyPolicy } from './baselines.ts'
import { PlacementPolicy } from './placementPolicy.ts'

/** Policies that the placement has to beat. */
export const BASELINE_NAMES = ['random', 'least-loaded', 'sticky', 'single-level'] as const

/** All compared policies. */
export const POLICY_NAMES = [...BASELINE_NAMES, 'placement', 'all-knowing'] as const

/** One of {@link POLICY_NAMES}. */
export type PolicyName = typeof POLICY_NAMES[number]

/** Finds the factory of a policy; the all-knowing one knows the objective too. */
export function findPolicy (name: PolicyName, deployment: Deployment): PolicyFactory {
  const AllKnowing = deployment.objective === 'reuse' ? AllKnowingReusePolicy : AllKnowingPolicy
  const factories: Record<PolicyName, PolicyFactory> = {
    random: world => new RandomPolicy(world),
    'least-loaded': world => new LeastLoadedPolicy(world),
    sticky: world => new StickyPolicy(world),
    'single-level': world => new SingleLevelPolicy(world),
    placement: (world, given) => new PlacementPolicy(world, given),
    'all-knowing': world => new AllKnowing(world)
  }
  return factories[name]
}
