import type { EndpointName, FencingToken, Incarnation } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { WaveOptions } from './waveOptions.ts'
import type { WaveEndpoint, WaveGoal, WavePorts, WaveReport } from './waveTypes.ts'

/** The load's command, once it was sent. */
interface SentCommand {
  ordersTaken: number
  /** Time from which on reports without an effect of the command mean that it had none. */
  effectDueAtMs: number
  endedAtMs: number
}

/** Collaborators and inputs of an {@link EndpointLoader}. */
export interface EndpointLoaderDependencies {
  goal: WaveGoal
  /** Present target version, which may be newer than the one the load began with. */
  readTargetVersion (): number
  endpoint: WaveEndpoint
  options: WaveOptions
  ports: WavePorts
  /** Time until commands may be sent, in milliseconds. */
  readWaitMs (): number
  /** Fencing number while commands may be sent, else null. */
  readFencing (): FencingToken | null
  /** Loads of this endpoint that were given up before, one after the other. */
  failureCount: number
}

/**
 * Brings one endpoint to the target version. It starts when all VMs have been told to stop sending new requests to the
 * endpoint. The load command is sent once the running requests have ended, or after {@link WaveOptions.maxDrainMs}, in which
 * case the remaining ones continue under the new weights. The command carries the number of commands the endpoint has taken
 * so far, so that the endpoint refuses a delayed copy that arrives after another command. A load sends one command; it is
 * given up when that has no effect, so that the endpoint serves and others load until the next try.
 */
export class EndpointLoader {
  readonly #dependencies: EndpointLoaderDependencies
  #isDone = false
  #backoffUntilMs: number | null = null
  #isStopped = false
  #isDraining = true
  #sent: SentCommand | null = null
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

  /** Runs until the endpoint has the target version, the load is given up, or {@link stop} is called. */
  async run (): Promise<void> {
    const { ports, options, endpoint } = this.#dependencies
    let unansweredPolls = 0
    // Before this time no command may be sent, whatever a report says.
    await sleep(Math.max(options.minDrainMs, this.#dependencies.readWaitMs()))
    while (!this.#isStopped) {
      const report = await ports.readReport(endpoint.endpoint, options.callTimeoutMs)
      if (this.#isStopped) return
      unansweredPolls = report === null ? unansweredPolls + 1 : 0
      if (unansweredPolls >= options.maxUnansweredPolls) return this.#giveUp('no report')
      if (report !== null && this.#handleReached(report)) return
      if (report !== null && this.#hasFailed(report)) return this.#giveUp('no effect')
      if (report !== null && this.#isCommandDue(report) && !await this.#sendCommand(report)) return
      await sleep(options.pollIntervalMs)
    }
  }

  /** Whether the command had no effect, or another one than was asked for. */
  #hasFailed (report: WaveReport): boolean {
    if (this.#sent === null || report.isBusy) return false
    const hasEffect = report.ordersTaken !== this.#sent.ordersTaken
    return performance.now() >= (hasEffect ? this.#sent.endedAtMs + this.#dependencies.options.reportLagMs : this.#sent.effectDueAtMs)
  }

  /** The delays allow for old reports, which may miss requests that arrived just before the notice. */
  #isCommandDue (report: WaveReport): boolean {
    const { options } = this.#dependencies
    if (report.isBusy || this.#sent !== null) return false
    const waitedMs = performance.now() - this.#startedAtMs
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

  /** Sends the load command if it may be sent now; false when the endpoint refused it, which ends the load. */
  async #sendCommand (report: WaveReport): Promise<boolean> {
    const { goal, ports, endpoint, options } = this.#dependencies
    const fencing = this.#dependencies.readFencing()
    if (fencing === null) return true
    this.#isDraining = false
    this.#version = this.#dependencies.readTargetVersion()
    const command = { endpoint: endpoint.endpoint, model: goal.model, version: this.#version, fencing, ordersTaken: report.ordersTaken, waitsForRequests: report.running === 0 }
    ports.record({ type: 'orderSent', ...command })
    const result = await ports.sendCommand(command, options.callTimeoutMs)
    ports.record({ type: 'orderAnswered', endpoint: endpoint.endpoint, version: this.#version, result })
    const endedAtMs = performance.now()
    const isAccepted = result === 'taken' || result === 'holds'
    this.#sent = { ordersTaken: report.ordersTaken, effectDueAtMs: endedAtMs + (isAccepted ? options.reportLagMs : options.firstPollDelayMs), endedAtMs }
    if (result !== 'refused') {
      await sleep(options.firstPollDelayMs)
      return true
    }
    this.#giveUp('refused')
    return false
  }

  /** An endpoint that took no command may take the next one a report's age later; one that fails again is left for longer. */
  #giveUp (reason: string): void {
    const { options, failureCount } = this.#dependencies
    const nowMs = performance.now()
    const isRepeated = failureCount > 0 || this.#sent === null || reason === 'refused'
    this.#backoffUntilMs = isRepeated ? nowMs + options.backoffMs : Math.max(nowMs, (this.#sent?.endedAtMs ?? nowMs) + options.reportLagMs - options.minDrainMs)
    this.#dependencies.ports.record({ type: 'loadGivenUp', endpoint: this.endpoint, version: this.#version, reason })
  }
}
