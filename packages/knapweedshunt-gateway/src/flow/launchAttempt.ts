import type { PrefixLevel } from 'knapweedshunt-types'
import { Attempt } from '../endpoints/attempt.ts'
import type { Choice } from '../endpoints/endpointChooser.ts'
import type { AttemptFields } from '../ports/endpointPort.ts'
import type { AttemptRun } from './attemptRun.ts'
import type { FlowParts } from './flowParts.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Least shared tokens worth a transfer to or from the store of kept prefixes. */
const MIN_KEPT_TOKENS = 1_000

/** What is known of an attempt before it is sent. */
export interface Launch {
  chosen: Extract<Choice, { type: 'chosen' }>
  /** Levels by which the endpoint was chosen. */
  homeLevels: PrefixLevel[]
  /** 1 for the request's first attempt. */
  number: number
  /** Last event that the caller has of a stream; null for a whole one. */
  lastEventId: string | null
}

/** Sends a request to the endpoint that was chosen, and notes there and at the placement that it is under way. */
export function launchAttempt (parts: FlowParts, plan: RequestPlan, { chosen, homeLevels, number, lastEventId }: Launch): AttemptRun {
  const { call, route, identity, body } = plan
  const { record, decision } = chosen
  const salt = route.usesPrefixes && call.prompt !== null ? parts.chooser.nameSalt(call.prompt, identity, record) : null
  const headers = parts.port.buildAttemptHeaders(plan.headers, {
    endpoint: record.entry.endpoint,
    timeLeftMs: Math.max(1, Math.floor(plan.deadlineAtMs - performance.now())),
    organisation: identity?.organisation ?? null,
    cacheSalt: salt,
    weightsVersion: salt === null || call.prompt === null ? null : record.findVersion(call.prompt.model),
    ...findTransfers(parts, plan, chosen, salt),
    priority: route.usesPrefixes ? identity?.priority ?? route.priority : null,
    lastEventId
  })
  const attempt = new Attempt(parts.port, parts.agent, { method: call.method, target: call.target, address: record.entry.address, headers, body, requestId: call.requestId })
  const id = `${call.requestId}-${number}`
  const promptTokens = call.prompt?.tokens ?? 0
  const expectedCachedTokens = decision.expectedCachedTokens ?? 0
  const startedAtMs = performance.now()
  record.open++
  record.noteTokens(promptTokens - expectedCachedTokens)
  parts.chooser.placement.handleEvent({ type: 'started', attempt: id, endpoint: record.entry.endpoint, tokens: promptTokens, levels: homeLevels, decision })
  parts.watch.noteStart(record, startedAtMs)
  return { attempt, record, number, startedAtMs, id, salt, expectedCachedTokens }
}

/** From where the endpoint brings the prompt's shared part, and where it saves it. */
function findTransfers (parts: FlowParts, { call, levels }: RequestPlan, { record }: Launch['chosen'], salt: string | null): Pick<AttemptFields, 'prefixSource' | 'prefixTarget'> {
  if (salt === null) return { prefixSource: null, prefixTarget: null }
  const source = parts.chooser.holders.findSource(levels, salt, record)
  const kept = (levels.at(-2)?.tokens ?? 0) >= MIN_KEPT_TOKENS ? parts.kept.findAddress() : null
  const isKept = parts.kept.holds(salt, call.prompt?.parts.slice(0, -1) ?? [])
  return { prefixSource: source?.entry.address ?? kept, prefixTarget: isKept ? null : kept }
}
