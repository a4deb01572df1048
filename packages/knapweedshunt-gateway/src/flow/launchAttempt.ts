import type { PrefixLevel } from 'knapweedshunt-types'
import { Attempt } from '../endpoints/attempt.ts'
import type { ChosenEndpoint } from '../endpoints/endpointChooser.ts'
import type { AttemptFields } from '../ports/endpointPort.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Minimum number of shared tokens for which a transfer from or to the KV store pays off. */
const MIN_STORED_PREFIX_TOKENS = 1_000

/** Parameters of an attempt that is about to be sent. */
export interface AttemptLaunch {
  chosen: ChosenEndpoint
  /** Prefix levels by which the endpoint was chosen. */
  homeLevels: PrefixLevel[]
  /** 1 for the first attempt of a request. */
  attemptNumber: number
  /** Id of the last event that the caller has received; null for a stream from its start. */
  lastEventId: string | null
}

/** Sends a request to the chosen endpoint and records the attempt as in flight with the endpoint record, the placement module and the endpoint monitor. */
export function launchAttempt (dependencies: FlowDependencies, plan: RequestPlan, { chosen, homeLevels, attemptNumber, lastEventId }: AttemptLaunch): RunningAttempt {
  const { call, route, identity, body } = plan
  const { record, decision } = chosen
  const cacheSalt = route.usesPrefixes && call.prompt !== null ? dependencies.chooser.computeCacheSalt(call.prompt, identity, record) : null
  const weightsVersion = route.usesPrefixes && call.prompt !== null ? record.findVersion(call.prompt.model) : null
  const transfers = findPrefixTransfers(dependencies, plan, chosen, cacheSalt)
  const headers = dependencies.endpointPort.buildAttemptHeaders(plan.headers, {
    endpoint: record.entry.endpoint,
    timeLeftMs: Math.max(1, Math.floor(plan.deadlineAtMs - performance.now())),
    organisation: identity?.organisation ?? null,
    cacheSalt,
    weightsVersion: cacheSalt === null ? null : weightsVersion,
    ...transfers,
    priority: route.usesPrefixes ? plan.priority : null,
    lastEventId
  })
  dependencies.recordSent(plan)
  const attempt = new Attempt(dependencies.endpointPort, dependencies.agent, { method: call.method, target: call.target, address: record.entry.address, headers, body, requestId: call.requestId, isRelayed: false })
  const attemptId = `${call.requestId}-${attemptNumber}`
  const promptTokens = call.prompt?.tokens ?? 0
  const expectedCachedTokens = decision.expectedCachedTokens ?? 0
  const startedAtMs = performance.now()
  const sharedTokens = plan.levels.at(-2)?.tokens ?? 0
  const mayFetch = transfers.prefixSource !== null && expectedCachedTokens < sharedTokens
  const soloPromptTokens = record.inFlightCount === 0 && !mayFetch && promptTokens > 0 ? promptTokens - expectedCachedTokens : null
  record.inFlightCount++
  record.headDelays.recordStart(startedAtMs)
  if (route.usesPrefixes) dependencies.poolOverload.enginePools.recordStart(plan, record, attemptId)
  const tokensToRead = promptTokens - (transfers.prefixSource === null ? expectedCachedTokens : Math.max(expectedCachedTokens, sharedTokens))
  record.recordPromptTokens(promptTokens - expectedCachedTokens, tokensToRead)
  if (promptTokens > 0) dependencies.chooser.promptSizePartition.recordSent(record, promptTokens, tokensToRead, plan.priority)
  dependencies.chooser.placement.handleEvent({ type: 'started', attempt: attemptId, endpoint: record.entry.endpoint, tokens: promptTokens, levels: homeLevels, decision })
  dependencies.endpointMonitor.recordStart(record, startedAtMs)
  return { attempt, target: { type: 'endpoint', record, expectedCachedTokens, cacheSalt }, softwareVersion: record.entry.softwareVersion, weightsVersion, endpoint: record.entry.endpoint, attemptNumber, countedEndpoints: 1, startedAtMs, soloPromptTokens, attemptId }
}

/** Chooses from where the endpoint fetches the KV cache of the prompt's shared prefix, and to which store it saves it; null for no transfer. */
function findPrefixTransfers (dependencies: FlowDependencies, { call, levels }: RequestPlan, { record }: AttemptLaunch['chosen'], cacheSalt: string | null): Pick<AttemptFields, 'prefixSource' | 'prefixTarget'> {
  if (cacheSalt === null) return { prefixSource: null, prefixTarget: null }
  const holder = dependencies.chooser.prefixLocations.findSource(levels, cacheSalt, record)
  const storeAddress = (levels.at(-2)?.tokens ?? 0) >= MIN_STORED_PREFIX_TOKENS ? dependencies.kvStoreMonitor.findAddress() : null
  const isStored = dependencies.kvStoreMonitor.hasAllParts(cacheSalt, call.prompt?.parts.slice(0, -1) ?? [])
  return { prefixSource: holder?.entry.address ?? storeAddress, prefixTarget: isStored ? null : storeAddress }
}
