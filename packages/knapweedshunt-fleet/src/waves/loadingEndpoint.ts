import type { Logger } from 'knapweedshunt-logger'
import type { EndpointName, FencingNumber, Incarnation } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { WaveOptions } from './waveOptions.ts'
import type { WaveEndpoint, WaveGoal, WavePorts, WaveReport } from './waveTypes.ts'

/** What the loading of one endpoint is made of. */
export interface LoadingParts {
  goal: WaveGoal
  endpoint: WaveEndpoint
  options: WaveOptions
  ports: WavePorts
  log: Logger
  /** Fencing number while orders may be sent, else null. */
  readFencing (): FencingNumber | null
}

/**
 * Brings one endpoint to one version. Each order names how many orders the endpoint has taken, so that a copy that
 * arrives late, after another order, is refused by the endpoint.
 */
export class LoadingEndpoint {
  readonly #parts: LoadingParts
  #isDone = false
  #restUntilMs: number | null = null
  #isStopped = false
  #orderedAtMs = -Infinity
  #isDraining = false

  constructor (parts: LoadingParts) {
    this.#parts = parts
  }

  /** Name of the endpoint. */
  get endpoint (): EndpointName {
    return this.#parts.endpoint.endpoint
  }

  /** Incarnation that the load is for. */
  get incarnation (): Incarnation {
    return this.#parts.endpoint.incarnation
  }

  /** Whether the endpoint runs the version. */
  get isDone (): boolean {
    return this.#isDone
  }

  /** Whether the endpoint took the order and still runs requests that came before it. */
  get isDraining (): boolean {
    return this.#isDraining
  }

  /** Whether the endpoint was given up for now. */
  isResting (nowMs: number): boolean {
    return this.#restUntilMs !== null && nowMs < this.#restUntilMs
  }

  /** Whether an endpoint that was given up may be tried again. */
  hasRested (nowMs: number): boolean {
    return this.#restUntilMs !== null && nowMs >= this.#restUntilMs
  }

  /** Ends the load; an order that was taken runs on. */
  stop (): void {
    this.#isStopped = true
  }

  /** Runs until the endpoint has the version, is given up, or the lease is lost. */
  async run (): Promise<void> {
    const { ports, options, endpoint } = this.#parts
    let silent = 0
    while (!this.#isStopped) {
      const report = await ports.readReport(endpoint.endpoint, options.callMs)
      if (this.#isStopped) return
      silent = report === null ? silent + 1 : 0
      if (silent >= options.maxSilent) return this.#rest('no report')
      if (report !== null) this.#isDraining = report.isBusy && report.running > 0
      if (report !== null && this.#isReached(report)) return
      const isOld = performance.now() - this.#orderedAtMs < options.reportLagMs
      if (report !== null && !report.isBusy && !isOld && !await this.#order(report)) return
      await sleep(options.askMs)
    }
  }

  #isReached (report: WaveReport): boolean {
    const { goal, ports, endpoint } = this.#parts
    if ((report.version ?? 0) < goal.version || report.isBusy) return false
    this.#isDone = true
    this.#parts.log.info('Weights reached.', { decision: 'weightsReached', endpoint: endpoint.endpoint, model: goal.model, version: goal.version })
    ports.noteReached(endpoint.endpoint, goal.model, goal.version)
    return true
  }

  /** Sends the order; false when none may be sent any more. */
  async #order (report: WaveReport): Promise<boolean> {
    const { goal, ports, endpoint, options, log } = this.#parts
    const fencing = this.#parts.readFencing()
    if (fencing === null) return false
    const order = { endpoint: endpoint.endpoint, ...goal, fencing, ordersTaken: report.ordersTaken }
    log.info('Order sent.', { decision: 'orderSent', ...order })
    const result = await ports.sendOrder(order, options.callMs)
    log.info('Order answered.', { decision: 'orderAnswered', endpoint: endpoint.endpoint, version: goal.version, result })
    if (result === 'taken') {
      this.#orderedAtMs = performance.now()
      await sleep(options.firstAskMs)
    }
    if (result !== 'refused') return true
    this.#rest('refused')
    return false
  }

  #rest (reason: string): void {
    this.#restUntilMs = performance.now() + this.#parts.options.restMs
    this.#parts.log.warn('Load given up for now.', { endpoint: this.endpoint, reason })
  }
}
