import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { HeadRaceOptions } from './headRace.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { canReplaceSuccessor, Successor } from './successor.ts'
import type { SuccessorParts } from './successor.ts'

/** Time without a response after which another endpoint is asked for a repeatable request, as a share of the objective. */
const STALL_TIMEOUT_OBJECTIVE_SHARE = 0.6

/** The same for another VM, which tries further endpoints itself meanwhile. */
const RELAY_TIMEOUT_OBJECTIVE_SHARE = 1.2

/** Builds the options of the wait for the head of the response to an attempt; `lastEventId` is the last event that the caller has. */
export function buildHeadRaceOptions (dependencies: FlowDependencies, plan: RequestPlan, parts: SuccessorParts, runningAttempt: RunningAttempt, lastEventId: string | null): HeadRaceOptions {
  const { route } = plan
  const { target, startedAtMs } = runningAttempt
  const share = target.type === 'endpoint' ? STALL_TIMEOUT_OBJECTIVE_SHARE : RELAY_TIMEOUT_OBJECTIVE_SHARE
  return {
    silenceTimeoutMs: route.repeatability === REPEATABILITY.never ? null : route.objectiveMs * share,
    // An engine that produces tokens for other requests is busy, not lost, and has already processed part of the prompt. In an overloaded pool a second attempt takes the place of another request.
    isBusy: () => target.type === 'endpoint' && target.record.lastReceivedAtMs > startedAtMs && (route.usesPrefixes || dependencies.poolOverload.isOverloaded(plan)),
    canReplace: () => !parts.finalResponse.isSettled && canReplaceSuccessor(parts),
    startSuccessor: () => new Successor(dependencies, plan, parts, { cause: LOSS_REASON.silent, getLastEventId: () => lastEventId, onSend: () => {} }),
    onSuccessorEnded: (successor, result) => parts.recorder.recordHandover(runningAttempt, successor, result, null)
  }
}
