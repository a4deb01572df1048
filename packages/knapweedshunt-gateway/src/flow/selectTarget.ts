import { match } from 'ts-pattern'
import type { VmId } from 'knapweedshunt-types'
import type { Quarantine } from '../directory/quarantine.ts'
import type { Choice, ChosenEndpoint } from '../endpoints/endpointChooser.ts'
import type { EndpointScope } from '../endpoints/endpointScope.ts'
import { formatCandidates } from '../endpoints/candidateCounts.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { KeyRefusal } from './keyRefusal.ts'
import type { NextTarget } from './nextTarget.ts'
import type { RequestPlan } from './requestPlan.ts'
import { waitForConfirmedEndpoint } from './waitForConfirmedEndpoint.ts'

/** Where the next attempt of a request goes, or why there is none. */
export type TargetSelection =
  | { type: 'target', target: NextTarget }
  /** No target is needed any more. */
  | { type: 'cancelled' }
  | { type: 'keyRefused', refusal: KeyRefusal }
  | { type: 'quarantined', quarantine: Quarantine }
  /** The pool gets more than it can run. */
  | { type: 'overloaded', retryAfterMs: number, detail: string }
  /** This VM is stopping, and the request would not end before. */
  | { type: 'stopping' }
  /** This VM reaches no endpoint of the pool, and no other VM that does. */
  | { type: 'unreached' }
  /** `candidates` says what keeps the pool's endpoints from being sent the request. */
  | { type: 'unplaced', choice: Exclude<Choice, ChosenEndpoint>, candidates: string }

/** What limits the choice of a target. */
export interface TargetCriteria {
  triedEndpoints: string[]
  scope: EndpointScope
  triedPeers: VmId[]
  /** Software version that the endpoint must have; null for any. */
  softwareVersion: string | null
  /** Maximum wait for an endpoint, in milliseconds. */
  maxWaitMs: number
  /** Whether no target is needed any more. */
  isCancelled (): boolean
}

/** Selects the target of one attempt: checks the access key again, then chooses an endpoint, or another VM if this one reaches few. */
export async function selectTarget (dependencies: FlowDependencies, plan: RequestPlan, criteria: TargetCriteria): Promise<TargetSelection> {
  const { stopWindow, poolOverload } = dependencies
  if (!stopWindow.canEnd(plan)) return { type: 'stopping' }
  // What was sent before has its part already.
  const overload = criteria.triedEndpoints.length > 0 || criteria.triedPeers.length > 0 || plan.relayed !== null ? null : poolOverload.decide(plan)
  if (overload?.type === 'refused') return { type: 'overloaded', retryAfterMs: overload.retryAfterMs, detail: overload.detail }
  const refusal = await dependencies.checkKey(plan)
  if (refusal !== null) return { type: 'keyRefused', refusal }
  const selection = await selectReachedTarget(dependencies, plan, criteria)
  if (selection.type !== 'target') return selection
  // The wait for a key, an endpoint or a permit may have taken the time that the request needs.
  if (!stopWindow.canEnd(plan)) return { type: 'stopping' }
  // The quarantine is checked last, since crashes at other VMs are read while the request waits or runs.
  const quarantine = dependencies.findQuarantine(plan)
  return quarantine === null ? selection : { type: 'quarantined', quarantine }
}

/** What another VM has relayed is not relayed again. */
async function selectReachedTarget (dependencies: FlowDependencies, plan: RequestPlan, criteria: TargetCriteria): Promise<TargetSelection> {
  const { relays } = dependencies
  const { pool, relayed } = plan
  if (relayed !== null) return relays.isCutOff(pool) ? { type: 'unreached' } : await selectEndpoint(dependencies, plan, criteria)
  if (criteria.scope.type === 'only') return await selectEndpoint(dependencies, plan, criteria)
  const route = await relays.select(pool, criteria.triedPeers)
  if (criteria.isCancelled()) return { type: 'cancelled' }
  return match(route)
    .with({ type: 'direct' }, () => selectEndpoint(dependencies, plan, criteria))
    .with({ type: 'relay' }, ({ peer }): TargetSelection => ({ type: 'target', target: { type: 'peer', peer } }))
    .with({ type: 'unreached' }, (): TargetSelection => ({ type: 'unreached' }))
    .exhaustive()
}

async function selectEndpoint (dependencies: FlowDependencies, plan: RequestPlan, { triedEndpoints, scope, softwareVersion, maxWaitMs, isCancelled }: TargetCriteria): Promise<TargetSelection> {
  const { chooser } = dependencies
  const { pool, route, call } = plan
  const homeLevels = chooser.findHomeLevels(plan.levels)
  const choice = await waitForConfirmedEndpoint(dependencies, plan, { homeLevels, triedEndpoints, scope, softwareVersion, acceptsVersion: buildVersionFilter(dependencies, plan, softwareVersion), maxWaitMs, isCancelled })
  if (isCancelled()) return { type: 'cancelled' }
  if (choice.type === 'chosen') return { type: 'target', target: { type: 'endpoint', chosen: choice, homeLevels } }
  return { type: 'unplaced', choice, candidates: formatCandidates(chooser.countCandidates({ pool, prompt: route.usesPrefixes ? call.prompt : null, triedEndpoints, softwareVersion })) }
}

/** A resumable stream begins only where other VMs can tell later what began it. */
function buildVersionFilter ({ streamOrigins }: FlowDependencies, { call, route, identity, pool }: RequestPlan, softwareVersion: string | null): ((softwareVersion: string) => boolean) | null {
  if (route.repeatability !== REPEATABILITY.resumed || call.lastEventId !== null || softwareVersion !== null) return null
  return version => streamOrigins.canBegin({ organisation: identity?.organisation ?? '', pool, firstRequestId: call.requestId }, version)
}

/** Says in a few words why no target was selected, for a log line. */
export function describeSelection (selection: Exclude<TargetSelection, { type: 'target' }>): string {
  return match(selection)
    .with({ type: 'cancelled' }, () => 'not needed any more')
    .with({ type: 'keyRefused' }, ({ refusal }) => `access key ${refusal.type}`)
    .with({ type: 'quarantined' }, () => 'quarantined')
    .with({ type: 'overloaded' }, () => 'overloaded')
    .with({ type: 'stopping' }, () => 'this VM is stopping')
    .with({ type: 'unreached' }, () => 'no endpoint reached')
    .with({ type: 'unplaced' }, ({ choice, candidates }) => `${choice.type}: ${candidates}`)
    .exhaustive()
}
