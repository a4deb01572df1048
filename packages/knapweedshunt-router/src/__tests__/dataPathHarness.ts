import type { AttemptEvent, Usage } from 'knapweedshunt-attempts'
import type { AttemptCall } from '../attemptCall.ts'
import type { CallerErrorInstance } from '../callerError.ts'
import type { CallerRequest } from '../callerRequest.ts'
import type { CallerSink } from '../callerSink.ts'
import { DataPath } from '../dataPath.ts'
import type { RouterOrders } from '../orders/routerOrders.ts'
import { RequestTask } from '../requestTask.ts'
import { DEFAULT_ROUTER_OPTIONS } from '../routerOptions.ts'

export const TOKENS = 6
const ENDPOINTS = ['e1', 'e2', 'e3']
const quiet = () => {}

/** One attempt as its endpoint plays it. */
export class PlayedAttempt {
  readonly call: AttemptCall
  readonly endpoint: string
  #finish = quiet
  #next: number
  #hasHead = false
  over = false

  constructor (call: AttemptCall) {
    this.call = call
    this.endpoint = `e${new URL(call.url).hostname.at(-1)}`
    this.#next = call.resumeFrom
  }

  run (): Promise<void> {
    return new Promise(resolve => {
      this.#finish = resolve
      this.call.signal.addEventListener('abort', () => this.end({ type: 'broken', attempt: this.call.attempt, reason: 'reset' }), { once: true })
    })
  }

  /** Plays up to and without token `end`. */
  playTo (end: number, weightsVersion: string): void {
    const { attempt } = this.call
    if (this.over) return
    if (!this.#hasHead) this.call.emit({ type: 'head', attempt, status: 200, incarnation: `${this.endpoint}-1`, weightsVersion })
    this.#hasHead = true
    for (; this.#next < end && !this.over; this.#next++) this.call.emit({ type: 'token', attempt, n: this.#next, text: nameToken(this.#next) })
  }

  playUsage (): void {
    if (!this.over) this.call.emit({ type: 'usage', attempt: this.call.attempt, usage: { promptTokens: 10, completionTokens: TOKENS, cachedTokens: 5 } })
  }

  end (event: AttemptEvent): void {
    if (this.over) return
    this.over = true
    this.call.emit(event)
    this.#finish()
  }
}

export function nameToken (n: number): string {
  return `token-${n} `
}

/** What the caller got. */
export class RecordedSink implements CallerSink {
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

  #close (result: RecordedSink['result']): void {
    if (this.result !== 'none') throw new Error('two results')
    this.result = result
  }
}

/** A data path whose endpoints the test plays. */
export class Stage {
  readonly path: DataPath
  readonly attempts: PlayedAttempt[] = []
  readonly cancelled: string[] = []
  readonly gone = new AbortController()
  readonly sink = new RecordedSink()
  readonly request: CallerRequest
  /** Weights that endpoints answer with. */
  weightsVersion = 'w1'
  #revision = 1
  #states: Record<string, string> = {}
  #incarnations: Record<string, number> = {}

  constructor (repeatable: boolean) {
    const client = {
      run: (call: AttemptCall) => {
        const attempt = new PlayedAttempt(call)
        this.attempts.push(attempt)
        return attempt.run()
      },
      cancel: async (_url: string, attempt: string) => { this.cancelled.push(attempt) }
    }
    const log = { debug: quiet, info: quiet, warn: quiet, error: quiet }
    const options = { ...DEFAULT_ROUTER_OPTIONS, endpointWindow: 1, peerKey: 'k' }
    this.path = new DataPath(options, { takeSnapshot: quiet } as unknown as RouterOrders, log, client)
    this.request = buildRequest('r', repeatable)
    this.push()
  }

  /** Hands over a snapshot. */
  push (change: { states?: Record<string, string>, restarted?: string, weightsVersion?: string, loadAgeMs?: number, peers?: number, running?: Record<string, string> } = {}): void {
    Object.assign(this.#states, change.states)
    if (change.restarted !== undefined) this.#incarnations[change.restarted] = 2
    if (change.weightsVersion !== undefined) this.#revision++
    this.weightsVersion = change.weightsVersion ?? this.weightsVersion
    const load = { running: 900, queued: 900, queuedTokens: 1e6, atMs: 0, weightsVersion: 'w1' }
    const endpoints = ENDPOINTS.map(endpoint => {
      const incarnation = `${endpoint}-${this.#incarnations[endpoint] ?? 1}`
      const report = change.loadAgeMs === undefined || endpoint !== 'e1' ? null : { ...load, endpoint, incarnation }
      return { endpoint, incarnation, state: this.#states[endpoint] ?? 'live', weightsVersion: change.running?.[endpoint] ?? this.weightsVersion, load: report, loadAgeMs: change.loadAgeMs ?? 0 }
    })
    const vms = Array.from({ length: change.peers ?? 0 }, (_, i) => ({ vm: `peer-${i}`, incarnation: 'p', dataCentre: 'dc-1', controlUrl: '', routerUrl: 'http://127.0.0.1:9', state: 'live', appliedRevision: 1 }))
    this.path.takeSnapshot({ resources: { revision: this.#revision, resources: buildResources(this.weightsVersion) }, vms, endpoints })
  }

  async admit (request: CallerRequest = this.request): Promise<void> {
    await this.path.gate.enter(request, this.gone.signal)
  }

  /** Runs the admitted request. */
  async run (): Promise<void> {
    try {
      await new RequestTask(this.path, this.request, this.sink).run(this.gone.signal)
    } finally {
      this.path.gate.leave(this.request.requestId)
    }
  }

  get latest (): PlayedAttempt | undefined {
    return this.attempts.at(-1)
  }

  countLeaks (): number {
    const { running, waiting, attempts } = this.path.gate.countRequests()
    return running + waiting + attempts + this.path.running.size + this.path.placement.inFlight + this.path.suspects.lane.inFlight + this.path.suspects.lane.suspects
  }
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
    idempotencyKey: null,
    orderTicket: null,
    resumeFrom: 0,
    digest: requestId,
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
