import type { EndpointName, FencingToken, Incarnation } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { WaveOptions } from './waveOptions.ts'
import type { WaveEndpoint, WaveGoal, WavePorts, WaveReport } from './waveTypes.ts'

/** Collaborators and inputs of an {@link EndpointLoader}. */
export interface EndpointLoaderDependencies {
  goal: WaveGoal
  /** Present target version, which may be newer than the one the load began with. */
  readTargetVersion (): number
  endpoint: WaveEndpoint
  options: WaveOptions
  ports: WavePorts
  /** Fencing number while commands may be sent, else null. */
  readFencing (): FencingToken | null
}

/**
 * Brings one endpoint to the target version. It starts when all VMs have been told to stop sending new requests to the
 * endpoint. The load command is sent once the running requests have ended, or after {@link WaveOptions.maxDrainMs}, in which
 * case the remaining ones continue under the new weights. Each command carries the number of commands the endpoint has taken
 * so far, so that the endpoint refuses a delayed copy that arrives after another command.
 */
export class EndpointLoader {
  readonly #dependencies: EndpointLoaderDependencies
  #isDone = false
  #backoffUntilMs: number | null = null
  #isStopped = false
  #lastCommandAtMs = -Infinity
  #isDraining = true
  readonly #startedAtMs = performance.now()
  #version: number

  constructor (dependencies: EndpointLoaderDependencies) {
    this.#dependencies = dependencies
    this.#version = dependencies.goal.version
  }

  /** Endpoint that loads the weights. */
  get endpoint (): EndpointName {
    return this.#dependencies.endpoint.endpoint
  }

  /** Incarnation for which the load was started; the load ends when the endpoint restarts. */
  get incarnation (): Incarnation {
    return this.#dependencies.endpoint.incarnation
  }

  /** Whether the endpoint reported the target version. */
  get isDone (): boolean {
    return this.#isDone
  }

  /** Whether no command was sent yet because requests may still be running. */
  get isDraining (): boolean {
    return this.#isDraining
  }

  /** Whether the load was given up and its backoff has not passed. */
  isBackingOff (nowMs: number): boolean {
    return this.#backoffUntilMs !== null && nowMs < this.#backoffUntilMs
  }

  /** Whether the load was given up and its backoff has passed, so that it may be tried again. */
  isRetryDue (nowMs: number): boolean {
    return this.#backoffUntilMs !== null && nowMs >= this.#backoffUntilMs
  }

  /** Stops polling and sending; a load that the endpoint has already begun continues there. */
  stop (): void {
    this.#isStopped = true
  }

  /** Runs until the endpoint has the target version, the load is given up, the lease is lost, or {@link stop} is called. */
  async run (): Promise<void> {
    const { ports, options, endpoint } = this.#dependencies
    let unansweredPolls = 0
    // Before this time no command may be sent, whatever a report says.
    await sleep(options.minDrainMs)
    while (!this.#isStopped) {
      const report = await ports.readReport(endpoint.endpoint, options.callTimeoutMs)
      if (this.#isStopped) return
      unansweredPolls = report === null ? unansweredPolls + 1 : 0
      if (unansweredPolls >= options.maxUnansweredPolls) return this.#giveUp('no report')
      if (report !== null && this.#handleReached(report)) return
      if (report !== null && this.#isCommandDue(report) && !await this.#sendCommand(report)) return
      await sleep(options.pollIntervalMs)
    }
  }

  /** The delays allow for old reports, which may miss requests that arrived just before the notice, or the last command. */
  #isCommandDue (report: WaveReport): boolean {
    const { options } = this.#dependencies
    const nowMs = performance.now()
    if (report.isBusy || nowMs - this.#lastCommandAtMs < options.reportLagMs) return false
    const waitedMs = nowMs - this.#startedAtMs
    return waitedMs >= options.maxDrainMs || (report.running === 0 && waitedMs >= options.minDrainMs)
  }

  #handleReached (report: WaveReport): boolean {
    const { goal, ports, endpoint } = this.#dependencies
    if ((report.version ?? 0) < this.#version || report.isBusy) return false
    this.#isDone = true
    ports.record({ type: 'weightsReached', endpoint: endpoint.endpoint, model: goal.model, version: this.#version })
    ports.handleReached(endpoint.endpoint, goal.model, this.#version)
    return true
  }

  /** Sends the load command; false when the loader must end: the lease is lost, or the endpoint refused. */
  async #sendCommand (report: WaveReport): Promise<boolean> {
    const { goal, ports, endpoint, options } = this.#dependencies
    const fencing = this.#dependencies.readFencing()
    if (fencing === null) return false
    this.#isDraining = false
    this.#version = this.#dependencies.readTargetVersion()
    const command = { endpoint: endpoint.endpoint, model: goal.model, version: this.#version, fencing, ordersTaken: report.ordersTaken, waitsForRequests: report.running === 0 }
    ports.record({ type: 'orderSent', ...command })
    const result = await ports.sendCommand(command, options.callTimeoutMs)
    ports.record({ type: 'orderAnswered', endpoint: endpoint.endpoint, version: this.#version, result })
    // A command that was lost or refused with a conflict may show in the next report too.
    this.#lastCommandAtMs = performance.now()
    if (result !== 'refused') {
      await sleep(options.firstPollDelayMs)
      return true
    }
    this.#giveUp('refused')
    return false
  }

  #giveUp (reason: string): void {
    this.#backoffUntilMs = performance.now() + this.#dependencies.options.backoffMs
    this.#dependencies.ports.record({ type: 'loadGivenUp', endpoint: this.endpoint, version: this.#version, reason })
  }
}
