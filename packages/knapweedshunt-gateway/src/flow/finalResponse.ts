import { match } from 'ts-pattern'
import type { Choice, ChosenEndpoint } from '../endpoints/endpointChooser.ts'
import type { Quarantine } from '../directory/quarantine.ts'
import type { RefusedByPeer } from '../endpoints/attemptOutcome.ts'
import { buildRefusal } from '../peers/buildRefusal.ts'
import type { RefusalReason } from '../records/decision.ts'
import { buildRouterResponse } from '../shared/buildRouterResponse.ts'
import type { CallerResponse } from '../shared/callerResponse.ts'
import { formatKeysAge } from './callerAuthenticator.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { KeyRefusal } from './keyRefusal.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RequestRecorder } from './requestRecorder.ts'
import { RETRY_OTHER_VM_MS } from './retryOtherVm.ts'

/** Mean of the retry-after time given to a refused caller, in milliseconds. */
const RETRY_AFTER_MS = 200

/** Longest mean of the retry-after time given when all endpoints asked this VM to back off or their rate limits are used, in milliseconds; that holds for this VM, and others may be sent the request. */
const MAX_LIMITED_RETRY_AFTER_MS = 2_000

/** Mean of the retry-after time given while the weights of all endpoints were replaced too long ago, in milliseconds: some load new ones, or none does yet. */
const LOADING_RETRY_AFTER_MS = 500
const REPLACED_RETRY_AFTER_MS = 1_500

/** Recorded status if the connection is closed without a complete response. */
const STATUS_NONE = 0

/** Refusals of a request whose access key is not known to be valid; its caller gets no response of an endpoint. */
const KEY_REFUSALS: RefusalReason[] = ['unknown_key', 'keys_unconfirmed']

/** Sends the router's own final response to one request, at most once, if no response of an endpoint can be forwarded. */
export class FinalResponse {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #recorder: RequestRecorder
  readonly #callerResponse: CallerResponse
  #isSettled = false
  #mayHaveRun = false
  /** Forwards a failure of an endpoint that was kept while the request is retried; null without one. */
  #tryForwardFailure: (() => boolean) | null = null
  /** Number of attempts started. */
  attemptCount = 0

  constructor (dependencies: FlowDependencies, plan: RequestPlan, recorder: RequestRecorder, callerResponse: CallerResponse) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#recorder = recorder
    this.#callerResponse = callerResponse
  }

  /** Whether the request has its final response or the caller has disconnected. */
  get isSettled (): boolean {
    return this.#isSettled
  }

  /** Whether an endpoint may have run the request. */
  get mayHaveRun (): boolean {
    return this.#mayHaveRun
  }

  /** Records that an endpoint may have run the request; from now on no response says that it did not run. */
  recordMayHaveRun (): void {
    this.#mayHaveRun = true
  }

  /** Keeps the failure response of an endpoint while the request is retried; the caller gets it if no endpoint serves the request. `tryForward` returns false if it cannot be written. */
  keepFailure (tryForward: () => boolean): void {
    this.#tryForwardFailure = tryForward
  }

  /** Drops the failure that was kept, as the caller gets another response. */
  dropFailure (): void {
    this.#tryForwardFailure = null
  }

  /** Marks the request as settled without sending a response. */
  settle (): void {
    this.#isSettled = true
  }

  /** Handles a disconnect of the caller; `isRunning` if an attempt was in flight. */
  handleCallerLeft (isRunning: boolean): void {
    this.#isSettled = true
    this.#recorder.recordRefused({ reason: 'caller_left', status: STATUS_NONE, mayHaveRun: this.#mayHaveRun || isRunning, attempts: this.attemptCount, retryAfterMs: 0, detail: '' })
  }

  /** Refuses a request that no endpoint served: 502 if it may have run, otherwise 503. */
  fail (reason: RefusalReason, detail: string): void {
    this.refuse(reason, this.#mayHaveRun ? 502 : 503, detail)
  }

  /** Refuses a request for which no endpoint could be chosen; `candidates` says what keeps the pool's endpoints from being sent it. */
  refuseUnplaced (choice: Exclude<Choice, ChosenEndpoint>, candidates: string): void {
    match(choice)
      .with({ type: 'none' }, () => this.fail('no_endpoint', 'the pool has no endpoint, or none of the software version that began the stream'))
      .with({ type: 'busy' }, () => this.fail('no_free_endpoint', `no endpoint can accept the request: ${candidates}`))
      .with({ type: 'replaced' }, ({ isLoading }) => this.refuse('weights_replaced', this.#mayHaveRun ? 502 : 503, `the weights of all endpoints were replaced too long ago: ${candidates}`, isLoading ? LOADING_RETRY_AFTER_MS : REPLACED_RETRY_AFTER_MS))
      .with({ type: 'limited' }, ({ waitMs }) => this.refuse('endpoints_limited', this.#mayHaveRun ? 502 : 503, 'all endpoints asked this VM to back off, or state rate limits of which the parts of this VM are used', Math.min(MAX_LIMITED_RETRY_AFTER_MS, Math.max(RETRY_AFTER_MS, waitMs))))
      .exhaustive()
  }

  /** Refuses a stream of which this VM cannot tell which software version began it; another VM may be able to. */
  refuseStream (): void {
    this.refuse('stream_unknown', 503, 'several software versions may have begun the stream', RETRY_OTHER_VM_MS)
  }

  /** Refuses a request of a pool that gets more than it can run; callers return in the order in which they are refused. */
  refuseOverloaded (retryAfterMs: number, detail: string): void {
    this.#refuse('overloaded', this.#mayHaveRun ? 502 : 503, detail, retryAfterMs)
  }

  /** Refuses a request that would not end before this VM stops. */
  refuseStopping (): void {
    this.refuse('stopping', this.#mayHaveRun ? 502 : 503, 'the VM stops before the request would end', RETRY_OTHER_VM_MS)
  }

  /** Refuses a request of a pool of which no endpoint can be reached, neither by this VM nor by one that it can ask. */
  refuseUnreached (): void {
    this.refuse('endpoints_unreached', this.#mayHaveRun ? 502 : 503, 'this VM reaches no endpoint of the pool, and no other VM that does', RETRY_OTHER_VM_MS)
  }

  /** Passes on the refusal of the VM to which the request was sent. */
  refuseRelayed ({ status, reason, retryAfterMs }: RefusedByPeer): void {
    this.refuse('relay_refused', this.#mayHaveRun && status !== 504 ? 502 : status, `refused by the other VM: ${reason}`, retryAfterMs ?? RETRY_AFTER_MS)
  }

  /** Refuses a request that was quarantined after it was accepted. */
  quarantine ({ detail, retryAfterMs }: Quarantine): void {
    this.refuse('quarantined', this.#mayHaveRun ? 502 : 503, detail, retryAfterMs)
  }

  /** Refuses a request whose access key is no longer known, or not known to be valid: 502 if it may have run. */
  refuseKey (refusal: KeyRefusal): void {
    match(refusal)
      .with({ type: 'unconfirmed' }, ({ ageMs }) => this.fail('keys_unconfirmed', formatKeysAge(ageMs)))
      .with({ type: 'removed' }, () => this.refuse('unknown_key', this.#mayHaveRun ? 502 : 401, 'The access key was removed after the request arrived.'))
      .exhaustive()
  }

  /** Refuses a request whose deadline has passed: 504 if it may have run, otherwise 503. */
  handleDeadline (): void {
    this.refuse('timeout', this.#mayHaveRun ? 504 : 503, 'the deadline of the request has passed')
  }

  /** Ends a stream that cannot be completed: the connection is closed if a part of it was sent, else the request is refused. */
  abortResponse (detail: string): void {
    this.refuse('stream_cut', this.#callerResponse.isReplaceable ? 502 : STATUS_NONE, detail)
  }

  /** Refuses the request with the status; a 503 carries a retry-after time around the mean given. If a response has already started, its connection is closed instead, so that the caller does not take it for complete. */
  refuse (reason: RefusalReason, status: number, detail: string, meanRetryAfterMs = RETRY_AFTER_MS): void {
    if (!this.#isSettled) this.#refuse(reason, status, detail, this.#dependencies.randomizeDelayMs(meanRetryAfterMs))
  }

  #refuse (reason: RefusalReason, status: number, detail: string, delayMs: number): void {
    if (this.#isSettled) return
    if (this.#callerResponse.hasCallerLeft) return this.handleCallerLeft(false)
    this.#isSettled = true
    if (this.#callerResponse.phase === 'waiting' && !KEY_REFUSALS.includes(reason) && this.#tryForwardFailure?.() === true) return
    const retryAfterMs = status === 503 ? delayMs : null
    this.#recorder.recordRefused({ reason, status, mayHaveRun: this.#mayHaveRun, attempts: this.attemptCount, retryAfterMs: retryAfterMs ?? 0, detail })
    const answer = this.#plan.relayed === null ? null : buildRefusal(reason, this.#mayHaveRun, retryAfterMs)
    this.#callerResponse.sendWhole(buildRouterResponse(this.#plan.call.requestId, { status: status === STATUS_NONE ? 502 : status, code: reason, retryAfterMs, closesConnection: false }, this.#dependencies.endpointPort, answer))
  }
}
