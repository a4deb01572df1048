import type { EndpointName, FencingNumber, Incarnation } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { WaveOptions } from './waveOptions.ts'
import type { WaveEndpoint, WaveGoal, WavePorts, WaveReport } from './waveTypes.ts'

/** What the loading of one endpoint is made of. */
export interface LoadingParts {
  goal: WaveGoal
  /** The version wished now, which may be newer than the one the load began with. */
  readWished (): number
  endpoint: WaveEndpoint
  options: WaveOptions
  ports: WavePorts
  /** Fencing number while orders may be sent, else null. */
  readFencing (): FencingNumber | null
}

/**
 * Brings one endpoint to one version. All VMs leave it alone already: the order is given once its requests have ended, or
 * after a bound, and then they go on under the new weights. Each order names how many orders the endpoint has taken, so that a copy that
 * arrives late, after another order, is refused by the endpoint.
 */
export class LoadingEndpoint {
  readonly #parts: LoadingParts
  #isDone = false
  #restUntilMs: number | null = null
  #isStopped = false
  #orderedAtMs = -Infinity
  #isDraining = true
  readonly #startedAtMs = performance.now()
  #version: number

  constructor (parts: LoadingParts) {
    this.#parts = parts
    this.#version = parts.goal.version
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

  /** Whether no order was given yet, as requests still run. */
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
    // No order is due before, whatever a report says.
    await sleep(options.drainLeastMs)
    while (!this.#isStopped) {
      const report = await ports.readReport(endpoint.endpoint, options.callMs)
      if (this.#isStopped) return
      silent = report === null ? silent + 1 : 0
      if (silent >= options.maxSilent) return this.#rest('no report')
      if (report !== null && this.#isReached(report)) return
      if (report !== null && this.#isOrderDue(report) && !await this.#order(report)) return
      await sleep(options.askMs)
    }
  }

  /** A report may be too old to tell of requests that came just before the notice, or of the last order. */
  #isOrderDue (report: WaveReport): boolean {
    const { options } = this.#parts
    const nowMs = performance.now()
    if (report.isBusy || nowMs - this.#orderedAtMs < options.reportLagMs) return false
    const waitedMs = nowMs - this.#startedAtMs
    return waitedMs >= options.drainBoundMs || (report.running === 0 && waitedMs >= options.drainLeastMs)
  }

  #isReached (report: WaveReport): boolean {
    const { goal, ports, endpoint } = this.#parts
    if ((report.version ?? 0) < this.#version || report.isBusy) return false
    this.#isDone = true
    ports.record({ type: 'weightsReached', endpoint: endpoint.endpoint, model: goal.model, version: this.#version })
    ports.noteReached(endpoint.endpoint, goal.model, this.#version)
    return true
  }

  /** Sends the order; false when none may be sent any more. */
  async #order (report: WaveReport): Promise<boolean> {
    const { goal, ports, endpoint, options } = this.#parts
    const fencing = this.#parts.readFencing()
    if (fencing === null) return false
    this.#isDraining = false
    this.#version = this.#parts.readWished()
    const order = { endpoint: endpoint.endpoint, model: goal.model, version: this.#version, fencing, ordersTaken: report.ordersTaken, waitsForRequests: report.running === 0 }
    ports.record({ type: 'orderSent', ...order })
    const result = await ports.sendOrder(order, options.callMs)
    ports.record({ type: 'orderAnswered', endpoint: endpoint.endpoint, version: this.#version, result })
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
    this.#parts.ports.record({ type: 'loadGivenUp', endpoint: this.endpoint, version: this.#version, reason })
  }
}
