import { match } from 'ts-pattern'
import type { ForwardedByPeer, LossReason } from '../endpoints/attemptOutcome.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import type { HealthObservation } from '../endpoints/endpointHealth.ts'
import type { ResponseHead } from '../ports/endpointPort.ts'
import { buildCrashedAttempt } from './crashedAttempt.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Share of an endpoint's slots up to which its running requests delay a new one little. */
const MAX_LITTLE_LOAD = 0.25

/** Reports what the attempts of one request show about their endpoints, or about the VMs that relayed them; the VM that sent a relayed request to its endpoint reports on that endpoint. */
export class AttemptReporter {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan

  constructor (dependencies: FlowDependencies, plan: RequestPlan) {
    this.#dependencies = dependencies
    this.#plan = plan
  }

  /** Records how an attempt, or a part of it, went. */
  recordObservation ({ target }: RunningAttempt, observation: HealthObservation, reason: string): void {
    match(target)
      .with({ type: 'endpoint' }, ({ record }) => this.#dependencies.endpointMonitor.recordObservation(record, observation, reason))
      .with({ type: 'peer' }, ({ peer }) => { if (observation === HEALTH_OBSERVATION.down || observation === HEALTH_OBSERVATION.unreached) this.#dependencies.relays.recordFailure(peer.vm, reason) })
      .exhaustive()
  }

  /** Records that the endpoint may have crashed while it ran the request; `evidence` is how the attempt ended. */
  recordCrash ({ target, startedAtMs }: RunningAttempt, evidence: LossReason): void {
    if (target.type === 'endpoint') this.#dependencies.recordCrash(buildCrashedAttempt(this.#plan, target.record, startedAtMs), evidence)
  }

  /** Records an attempt that was given up without a response, or whose stream stalled. */
  recordUnanswered ({ target, startedAtMs }: RunningAttempt): void {
    match(target)
      .with({ type: 'endpoint' }, ({ record }) => this.#dependencies.recordUnanswered(buildCrashedAttempt(this.#plan, record, startedAtMs)))
      .with({ type: 'peer' }, ({ peer }) => this.#dependencies.relays.recordFailure(peer.vm, 'no response'))
      .exhaustive()
  }

  /** Records that bytes of the response arrived. */
  recordReceivedBytes ({ target, attempt }: RunningAttempt): void {
    if (target.type !== 'endpoint') return
    this.#dependencies.endpointMonitor.recordReceivedBytes(target.record)
    if (attempt.openedAtMs !== null) this.#dependencies.recordReceived(target.record, attempt.openedAtMs)
  }

  /** Records what the head of a response says about the endpoint. */
  recordResponseHead (runningAttempt: RunningAttempt, head: ResponseHead): void {
    const { target, startedAtMs } = runningAttempt
    if (target.type !== 'endpoint') return
    const { record } = target
    record.headDelays.recordHead(startedAtMs)
    const { chooser, endpointPermits } = this.#dependencies
    const { call } = this.#plan
    const model = call.prompt?.model
    this.#recordReplacedWeights(runningAttempt, head.weightsVersion ?? (model === undefined ? null : record.findVersion(model)))
    if (head.weightsVersion !== null && model !== undefined && record.recordVersion(model, head.weightsVersion)) chooser.rebuild()
    if (head.load !== null) chooser.recordLoad(record, head.load)
    this.#dependencies.poolOverload.recordHead(this.#plan, record, head, performance.now() - startedAtMs)
    endpointPermits.recordResponse(record, head, call.requestId, startedAtMs)
  }

  #recordReplacedWeights ({ endpoint, attemptNumber, startedAtMs }: RunningAttempt, version: number | null): void {
    const { call } = this.#plan
    if (call.prompt === null || version === null) return
    const replacement = this.#dependencies.findReplacement(call.prompt.model, version)
    if (replacement === null) return
    this.#dependencies.decisionLog.record({ type: 'begunOnReplaced', requestId: call.requestId, attempt: attemptNumber, endpoint, version, replacedMs: Math.round(replacement.replacedMs), leftMs: Math.round(replacement.leftMs), waitedMs: Math.round(performance.now() - startedAtMs) })
  }

  /** Records what a response that another VM relayed says about its endpoint; only leaving concerns this VM too. */
  recordRelayedHead ({ endpoint, incarnation }: ForwardedByPeer, head: ResponseHead): void {
    if (head.isLeaving) this.#dependencies.endpointPermits.recordLeaving(endpoint, incarnation)
  }

  /** Records that the endpoint has computed the prompt. */
  recordPromptComputed ({ target, soloPromptTokens, startedAtMs }: RunningAttempt): void {
    if (target.type !== 'endpoint' || target.cacheSalt === null) return
    const nowMs = performance.now()
    if (soloPromptTokens !== null && hasLittleLoad(target.record)) target.record.speed.recordFirstToken(soloPromptTokens, nowMs - startedAtMs, nowMs)
    this.#dependencies.chooser.prefixLocations.recordLocation(this.#plan.levels, target.cacheSalt, target.record)
  }

  /** Records a response that is no server error. */
  recordSuccess ({ target, startedAtMs }: RunningAttempt, status: number): void {
    if (target.type !== 'endpoint') return
    const nowMs = performance.now()
    if (!this.#plan.route.isStream && hasLittleLoad(target.record)) target.record.speed.recordRun(nowMs - startedAtMs, nowMs)
    if (!this.#plan.route.isStream) this.#dependencies.poolOverload.recordRun(this.#plan.pool, performance.now() - startedAtMs)
    this.#dependencies.recordSuccess(this.#plan, target.record, startedAtMs, status)
  }

  /** Records the end of an attempt; `hasReadPrompt` if the endpoint processed the whole prompt and so has it in its cache. */
  recordEnd ({ target, attemptId, startedAtMs }: RunningAttempt, hasReadPrompt: boolean): void {
    match(target)
      .with({ type: 'endpoint' }, ({ record, expectedCachedTokens }) => {
        record.inFlightCount--
        record.headDelays.recordEnd(startedAtMs)
        this.#dependencies.poolOverload.enginePools.recordEnd(this.#plan, record, attemptId)
        this.#dependencies.endpointMonitor.recordEnd(record, startedAtMs)
        this.#dependencies.chooser.placement.handleEvent({ type: 'finished', attempt: attemptId, cachedTokens: hasReadPrompt ? expectedCachedTokens : null })
      })
      .with({ type: 'peer' }, ({ peer }) => this.#dependencies.relays.recordEnd(peer.vm))
      .exhaustive()
  }
}

/** Whether the endpoint ran the response's request alone or beside few others, by the load that the response stated. */
function hasLittleLoad ({ load }: EndpointRecord): boolean {
  return load !== null && load.waiting === 0 && load.running <= Math.max(1, load.slots * MAX_LITTLE_LOAD)
}
