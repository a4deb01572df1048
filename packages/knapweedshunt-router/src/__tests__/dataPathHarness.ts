import type { AttemptEvent, Usage } from 'knapweedshunt-attempts'
import { BodyMemory } from 'knapweedshunt-utils'
import type { BodyShare } from 'knapweedshunt-utils'
import type { AttemptCall } from '../attemptCall.ts'
import type { CallerErrorInstance } from '../callerError.ts'
import type { CallerRequest } from '../callerRequest.ts'
import type { CallerSink } from '../callerSink.ts'
import { DataPath } from '../dataPath.ts'
import type { RouterOrders } from '../orders/routerOrders.ts'
import { RequestTask } from '../requestTask.ts'
import { DEFAULT_ROUTER_OPTIONS } from '../routerOptions.ts'

export const TOKEN_COUNT = 6
const ENDPOINTS = ['e1', 'e2', 'e3']
const noop = () => {}

/** An attempt whose endpoint responses the test emits. */
export class SimulatedAttempt {
  readonly call: AttemptCall
  readonly endpoint: string
  #finish = noop
  #nextToken: number
  #hasHead = false
  isEnded = false

  constructor (call: AttemptCall) {
    this.call = call
    this.endpoint = `e${new URL(call.url).hostname.at(-1)}`
    this.#nextToken = call.resumeFrom
  }

  run (): Promise<void> {
    return new Promise(resolve => {
      this.#finish = resolve
      this.call.signal.addEventListener('abort', () => this.end({ type: 'broken', attempt: this.call.attempt, reason: 'reset' }), { once: true })
    })
  }

  /** Emits the response head, if not emitted yet, and the tokens before `end`. */
  emitTokensUntil (end: number, weightsVersion: string): void {
    const { attempt } = this.call
    if (this.isEnded) return
    if (!this.#hasHead) this.call.emit({ type: 'head', attempt, status: 200, incarnation: `${this.endpoint}-1`, weightsVersion, softwareVersion: '' })
    this.#hasHead = true
    for (; this.#nextToken < end && !this.isEnded; this.#nextToken++) this.call.emit({ type: 'token', attempt, n: this.#nextToken, text: buildTokenText(this.#nextToken) })
  }

  emitUsage (): void {
    if (!this.isEnded) this.call.emit({ type: 'usage', attempt: this.call.attempt, usage: { promptTokens: 10, completionTokens: TOKEN_COUNT, cachedTokens: 5 } })
  }

  end (event: AttemptEvent): void {
    if (this.isEnded) return
    this.isEnded = true
    this.call.emit(event)
    this.#finish()
  }
}

export function buildTokenText (n: number): string {
  return `token-${n} `
}

/** Records what the caller receives. A second result is an error. */
export class RecordingSink implements CallerSink {
  readonly texts: string[] = []
  result: 'none' | 'finished' | CallerErrorInstance = 'none'

  deliver (n: number, text: string): void {
    this.texts.push(text)
  }

  deliverAnswer (): void {}

  finish (_usage: Usage | null): void {
    this.#close('finished')
  }

  fail (error: CallerErrorInstance): void {
    this.#close(error)
  }

  #close (result: RecordingSink['result']): void {
    if (this.result !== 'none') throw new Error('The sink received a second result.')
    this.result = result
  }
}

/** A data path with three simulated endpoints and one request. */
export class DataPathHarness {
  readonly path: DataPath
  readonly attempts: SimulatedAttempt[] = []
  readonly cancelled: string[] = []
  readonly callerAbort = new AbortController()
  readonly sink = new RecordingSink()
  readonly request: CallerRequest
  /** Weights version that endpoints report in response heads. */
  weightsVersion = 'w1'
  #revision = 1
  #states: Record<string, string> = {}
  #incarnations: Record<string, number> = {}

  constructor (repeatable: boolean) {
    const client = {
      run: (call: AttemptCall) => {
        const attempt = new SimulatedAttempt(call)
        this.attempts.push(attempt)
        return attempt.run()
      },
      relay: async () => {},
      cancel: async (_url: string, attempt: string) => { this.cancelled.push(attempt) }
    }
    const log = { debug: noop, info: noop, warn: noop, error: noop }
    const options = { ...DEFAULT_ROUTER_OPTIONS, endpointWindow: 1, peerKey: 'k' }
    this.path = new DataPath(options, { applySnapshot: noop } as unknown as RouterOrders, log, client)
    this.request = buildRequest('r', repeatable)
    this.applySnapshot()
  }

  /** Applies a snapshot with the given changes. Endpoint states and incarnations persist across calls. `running`: weights version that an endpoint runs instead of the target version. */
  applySnapshot (change: { states?: Record<string, string>, restartedEndpoint?: string, weightsVersion?: string, loadAgeMs?: number, peerCount?: number, running?: Record<string, string> } = {}): void {
    Object.assign(this.#states, change.states)
    if (change.restartedEndpoint !== undefined) this.#incarnations[change.restartedEndpoint] = 2
    if (change.weightsVersion !== undefined) this.#revision++
    this.weightsVersion = change.weightsVersion ?? this.weightsVersion
    const load = { running: 900, queued: 900, queuedTokens: 1e6, atMs: 0, weightsVersion: 'w1' }
    const endpoints = ENDPOINTS.map(endpoint => {
      const incarnation = `${endpoint}-${this.#incarnations[endpoint] ?? 1}`
      const report = change.loadAgeMs === undefined || endpoint !== 'e1' ? null : { ...load, endpoint, incarnation }
      return { endpoint, incarnation, state: this.#states[endpoint] ?? 'live', weightsVersion: change.running?.[endpoint] ?? this.weightsVersion, load: report, loadAgeMs: change.loadAgeMs ?? 0 }
    })
    const vms = Array.from({ length: change.peerCount ?? 0 }, (_, i) => ({ vm: `peer-${i}`, incarnation: 'p', dataCentre: 'dc-1', controlUrl: '', routerUrl: 'http://127.0.0.1:9', state: 'live', appliedRevision: 1 }))
    this.path.applySnapshot({ resources: { revision: this.#revision, resources: buildResources(this.weightsVersion) }, vms, endpoints })
  }

  async admit (request: CallerRequest = this.request): Promise<void> {
    await this.path.admission.waitForAdmission(request, this.callerAbort.signal)
  }

  /** Runs the admitted request to its end and releases its admission. */
  async run (): Promise<void> {
    try {
      await new RequestTask(this.path, this.request, this.sink).run(this.callerAbort.signal)
    } finally {
      this.path.admission.release(this.request.requestId)
    }
  }

  get latestAttempt (): SimulatedAttempt | undefined {
    return this.attempts.at(-1)
  }

  countLeaks (): number {
    const { running, waiting, attempts } = this.path.admission.countRequests()
    return running + waiting + attempts + this.path.runningAttempts.size + this.path.placement.inFlight + this.path.suspectGuard.isolator.inFlight + this.path.suspectGuard.isolator.suspects
  }
}

/** Builds the share of a response of which nothing is refused. */
export function buildShare (): BodyShare {
  return new BodyMemory({ maxBytes: Infinity, uncountedBytes: 0 }).open()
}

export function buildRequest (requestId: string, repeatable: boolean): CallerRequest {
  const salt = { organisation: 'harbour-hotel', model: 'm', adapter: '', weightsVersion: 'w1' }
  return {
    requestId,
    organisation: 'harbour-hotel',
    pool: 'language',
    route: 'completions',
    priorityClass: 'interactive',
    enginePriority: 0,
    job: 'long',
    repeatable,
    receivedAtMs: performance.now(),
    deadlineAtMs: performance.now() + 30_000,
    levels: [{ key: 'a', tokens: 10 }],
    sharedParts: [],
    idempotencyKey: null,
    orderTicket: null,
    resumeFrom: 0,
    streamToken: null,
    digest: requestId,
    relayHeaders: null,
    work: { type: 'completion', path: '/v1/completions', body: {}, stream: true, salt, seed: 1 }
  }
}

function buildResources (weightsVersion: string): unknown[] {
  return [
    { kind: 'Organisation', name: 'harbour-hotel', spec: { weight: 1 } },
    { kind: 'PriorityClass', name: 'interactive', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: 'm', weightsVersion, objective: 'tail' } },
    ...ENDPOINTS.map((name, i) => ({ kind: 'Endpoint', name, spec: { pool: 'language', url: `http://10.0.0.${i + 1}:80`, dataCentre: 'dc-1', cacheBlocks: 10 } }))
  ]
}
