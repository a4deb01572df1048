import { BASELINE_NAMES, findPolicyFactory, POLICY_NAMES } from '../policies/policySet.ts'
import type { PolicyName } from '../policies/policySet.ts'
import { buildTraffic } from './buildTraffic.ts'
import type { Deployment } from './deployments.ts'
import { summarizeSamples } from './summarizeSamples.ts'
import type { Summary } from './summarizeSamples.ts'
import type { Sample } from './sample.ts'
import { EVENT_AT_MS, EVENT_MINUTE_END_MS, WARM_UP_MS } from './scenarios.ts'
import type { Scenario } from './scenarios.ts'
import { Simulation } from './simulation.ts'

/** Conditions under which all policies are compared. */
export interface Case {
  deployment: Deployment
  scenario: Scenario
  /** Whether all data centres count as near, for every policy of the case. */
  isNear: boolean
  /** Whether KV caches are saved to the KV store and imported from it. */
  usesKvStore: boolean
}

/** Metrics of one policy in one case. */
export interface CaseSummary {
  /** Requests after the warm-up. */
  whole: Summary
  /** Requests in the minute after the event of the scenario. */
  minute: Summary
}

/** Metrics of one case by policy. */
export type CaseResult = Record<PolicyName, CaseSummary>

const SEEDS = [1, 2, 3]

/** Runs all policies of a case over the same traffic. */
export function runCase (one: Case): CaseResult {
  const results = POLICY_NAMES.map(name => [name, summarizeRuns(runPolicy(one, name))])
  return Object.fromEntries(results) as CaseResult
}

/** Samples of the baselines. They do not use the KV store, so cases with and without it share them. */
const baselineRuns = new Map<string, Sample[]>()

function runPolicy (one: Case, name: PolicyName): Sample[] {
  if (!BASELINE_NAMES.some(baseline => baseline === name)) return runTraffic(one, name)
  const key = [one.deployment.name, one.scenario.name, one.isNear, name].join()
  const samples = baselineRuns.get(key) ?? runTraffic(one, name)
  baselineRuns.set(key, samples)
  return samples
}

function runTraffic ({ deployment, scenario, isNear, usesKvStore }: Case, name: PolicyName): Sample[] {
  const used = usesKvStore ? deployment : { ...deployment, kvStoreTokens: 0 }
  return SEEDS.flatMap(seed => new Simulation(used, findPolicyFactory(name, used), isNear).run(buildTraffic(used, scenario, seed), scenario))
}

function summarizeRuns (samples: Sample[]): CaseSummary {
  return {
    whole: summarizeSamples(samples.filter(sample => sample.atMs >= WARM_UP_MS)),
    minute: summarizeSamples(samples.filter(sample => sample.atMs >= EVENT_AT_MS && sample.atMs < EVENT_MINUTE_END_MS))
  }
}
