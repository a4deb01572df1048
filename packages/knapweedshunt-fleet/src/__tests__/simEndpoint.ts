import type { EndpointRole, EndpointView } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { CommandResult } from '../endpointCommand.ts'
import type { CommandRequest } from '../fleetPorts.ts'

/** In-memory endpoint that implements the management interface: fencing, incarnations and idempotent commands. */
export class SimEndpoint {
  readonly name: string
  readonly dataCentre: string
  readonly checksFencing: boolean
  incarnationNumber = 1
  isUp = true
  weights: string | null = 'w1'
  role: EndpointRole = 'serve'
  fencing = 0
  loading: { version: string, done: Promise<void> } | null = null
  running = 0
  drainedAtMs = 0
  /** Time at which it was last up with weights, recorded when it crashes. */
  healthyAtMs = 0

  constructor (name: string, dataCentre: string, checksFencing: boolean) {
    this.name = name
    this.dataCentre = dataCentre
    this.checksFencing = checksFencing
  }

  get incarnation (): string {
    return `${this.name}#${this.incarnationNumber}`
  }

  crash (downMs: number): void {
    this.healthyAtMs = performance.now()
    Object.assign(this, { isUp: false, weights: null, role: 'serve', fencing: 0, loading: null, running: 0, incarnationNumber: this.incarnationNumber + 1 })
    setTimeout(() => { this.isUp = true }, downMs)
  }

  accepts ({ command, fencing }: CommandRequest): boolean {
    if (!this.isUp) return false
    return !this.checksFencing || (command.incarnation === this.incarnation && fencing >= this.fencing)
  }

  async run ({ command, fencing }: CommandRequest, loadMs: number): Promise<CommandResult> {
    this.fencing = Math.max(this.fencing, fencing)
    if (command.type === 'role') {
      if (command.role === 'drain' && this.role !== 'drain') this.drainedAtMs = performance.now()
      this.role = command.role
      return 'taken'
    }
    const { weightsVersion } = command.weights
    if (this.loading?.version !== weightsVersion) this.loading = weightsVersion === this.weights ? null : { version: weightsVersion, done: this.#load(weightsVersion, loadMs) }
    await this.loading?.done
    return 'taken'
  }

  async #load (version: string, loadMs: number): Promise<void> {
    await sleep(loadMs)
    if (this.loading?.version !== version) return
    this.loading = null
    this.weights = version
  }

  buildView (): EndpointView {
    const load = { endpoint: this.name, incarnation: this.incarnation, weightsVersion: this.weights, role: this.role, running: this.running, queued: 0, queuedTokens: 0, atMs: 0 }
    return { endpoint: this.name, incarnation: this.incarnation, state: 'live', weightsVersion: this.weights, load, loadAgeMs: 0 }
  }
}
