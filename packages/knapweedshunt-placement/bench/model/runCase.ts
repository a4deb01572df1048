import { BASELINE_NAMES, findPolicy, POLICY_NAMES } from '../policies/policySet.ts'
import type { PolicyName } from '../policies/policySet.ts'
import { buildTraffic } from './buildTraffic.ts'
import type { Deployment } from './deployments.ts'
import { describeSamples } from './describeSamples.ts'
import type { Summary } from './describeSamples.ts'
import type { Sample } from './sample.ts'
import { HERD_END_MS, MID_MS, WARM_MS } from './scenarios.ts'
import type { Scenario } from './scenarios.ts'
import { Simulation } from './simulate.ts'

/** What is compared in one table. */
export interface Case {
  deployment: Deployment
  scenario: Scenario
  /** Whether all data centres count as near; holds for every policy of the case. */
  isNear: boolean
  /** The store of kept KV caches is in use. */
  isKept: boolean
}

/** Figures of one policy in one case. */
export interface CaseSummary {
  /** After the warm-up. */
  whole: Summary
  /** The minute after the middle of the run, when things happen. */
  minute: Summary
}

/** Figures of one case by policy. */
export type CaseResult = Record<PolicyName, CaseSummary>

const SEEDS = [1, 2, 3]

/** Runs all policies of a case over the same traffic. */
export function runCase (one: Case): CaseResult {
  const results = POLICY_NAMES.map(name => [name, describeRuns(runPolicy(one, name))])
  return Object.fromEntries(results) as CaseResult
}

/** Runs of the baselines, which use no kept KV caches, so that they need not run twice. */
const baselineRuns = new Map<string, Sample[]>()

function runPolicy (one: Case, name: PolicyName): Sample[] {
  if (!BASELINE_NAMES.some(baseline => baseline === name)) return runTraffic(one, name)
  const key = [one.deployment.name, one.scenario.name, one.isNear, name].join()
  const samples = baselineRuns.get(key) ?? runTraffic(one, name)
  baselineRuns.set(key, samples)
  return samples
}

function runTraffic ({ deployment, scenario, isNear, isKept }: Case, name: PolicyName): Sample[] {
  const used = isKept ? deployment : { ...deployment, keptTokens: 0 }
  return SEEDS.flatMap(seed => new Simulation(used, findPolicy(name, used), isNear).run(buildTraffic(used, scenario, seed), scenario))
}

function describeRuns (samples: Sample[]): CaseSummary {
  return {
    whole: describeSamples(samples.filter(sample => sample.atMs >= WARM_MS)),
    minute: describeSamples(samples.filter(sample => sample.atMs >= MID_MS && sample.atMs < HERD_END_MS))
  }
}
