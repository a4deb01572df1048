import { isDeepStrictEqual } from 'node:util'
import type { EndpointName, EndpointSpec, EndpointView, FencingToken, Incarnation } from 'knapweedshunt-types'
import type { EndpointCommand } from './endpointCommand.ts'
import type { FleetPorts } from './fleetPorts.ts'
import type { WeightsTarget } from './weightsTarget.ts'

type WeightsCommand = Extract<EndpointCommand, { type: 'weights' }>

interface SentCommand {
  command: EndpointCommand
  sentAtMs: number
  /** Null while the command is in flight. */
  answeredAtMs: number | null
  isUnanswered: boolean
}

/** Sends commands to endpoints, at most one at a time to each. */
export class CommandSender {
  readonly #ports: FleetPorts
  readonly #maxCommandMs: number
  readonly #lastCommands = new Map<EndpointName, SentCommand>()
  readonly #confirmed = new Map<EndpointName, WeightsCommand>()

  constructor (ports: FleetPorts, maxCommandMs: number) {
    this.#ports = ports
    this.#maxCommandMs = maxCommandMs
  }

  /** Number of commands in flight. */
  get inFlightCount (): number {
    return [...this.#lastCommands.values()].filter(sent => sent.answeredAtMs === null).length
  }

  /** Forgets confirmed weights. Called when the lease is lost, since another holder may send commands from then on. */
  clearConfirmed (): void {
    this.#confirmed.clear()
  }

  /** Whether a command is in flight, or the view may predate the last answer; `lagMs` is the maximum by which the view is older than its recorded age. */
  hasPendingCommand (endpoint: EndpointName, view: EndpointView | null, lagMs: number): boolean {
    const sent = this.#lastCommands.get(endpoint)
    if (sent === undefined) return false
    if (sent.answeredAtMs === null) return true
    return view !== null && performance.now() - view.loadAgeMs <= sent.answeredAtMs + lagMs
  }

  /** Returns the weights of the last command accepted by an incarnation; null when none is known or another weights command was sent since. */
  readConfirmed (endpoint: EndpointName, incarnation: Incarnation): WeightsTarget | null {
    const confirmed = this.#confirmed.get(endpoint)
    return confirmed?.incarnation === incarnation ? confirmed.weights : null
  }

  /** Sends a command under the fencing token that `readFencing` returns at this moment; sends nothing when it returns null. */
  async send (command: EndpointCommand, spec: EndpointSpec, readFencing: (checksFencing: boolean) => FencingToken | null): Promise<void> {
    if (this.#mustWait(command)) return
    const fencing = readFencing(spec.checksFencing)
    if (fencing === null) return
    const sent: SentCommand = { command, sentAtMs: performance.now(), answeredAtMs: null, isUnanswered: false }
    this.#lastCommands.set(command.endpoint, sent)
    if (command.type === 'weights') this.#confirmed.delete(command.endpoint)
    const result = await this.#ports.sendCommand({ command, spec, fencing, timeoutMs: this.#maxCommandMs })
    sent.answeredAtMs = performance.now()
    sent.isUnanswered = result === 'lost'
    if (result === 'taken' && command.type === 'weights') this.#confirmed.set(command.endpoint, command)
    if (result !== 'taken') this.#ports.log.warn('Command was refused or not answered.', { endpoint: command.endpoint, type: command.type, result })
  }

  /** A command without an answer may still run: a different command waits until that is no longer possible. */
  #mustWait (command: EndpointCommand): boolean {
    const sent = this.#lastCommands.get(command.endpoint)
    if (sent === undefined) return false
    if (sent.answeredAtMs === null) return true
    const mayStillRun = sent.isUnanswered && performance.now() < sent.sentAtMs + this.#maxCommandMs
    return mayStillRun && !isDeepStrictEqual(sent.command, command)
  }
}
