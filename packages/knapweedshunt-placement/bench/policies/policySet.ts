import type { Deployment } from '../model/deployments.ts'
import type { PolicyFactory } from '../model/simulation.ts'
import { OraclePolicy, OracleReusePolicy } from './oraclePolicy.ts'
import { LeastLoadedPolicy, RandomPolicy, SingleLevelPolicy, StickyPolicy } from './baselines.ts'
import { PlacementPolicy } from './placementPolicy.ts'

/** Policies that the placement is compared with. */
export const BASELINE_NAMES = ['random', 'least-loaded', 'sticky', 'single-level'] as const

/** All compared policies. */
export const POLICY_NAMES = [...BASELINE_NAMES, 'placement', 'all-knowing'] as const

/** One of {@link POLICY_NAMES}. */
export type PolicyName = typeof POLICY_NAMES[number]

/** Finds the factory of a policy; the oracle (`all-knowing`) also depends on the objective. */
export function findPolicyFactory (name: PolicyName, deployment: Deployment): PolicyFactory {
  const Oracle = deployment.objective === 'reuse' ? OracleReusePolicy : OraclePolicy
  const factories: Record<PolicyName, PolicyFactory> = {
    random: context => new RandomPolicy(context),
    'least-loaded': context => new LeastLoadedPolicy(context),
    sticky: context => new StickyPolicy(context),
    'single-level': context => new SingleLevelPolicy(context),
    placement: (context, given) => new PlacementPolicy(context, given),
    'all-knowing': context => new Oracle(context)
  }
  return factories[name]
}
