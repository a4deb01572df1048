import type { CommandRequest } from '../fleetPorts.ts'
import { listPoolGoals } from '../poolGoal.ts'
import type { ResourceSnapshot } from 'knapweedshunt-types'
import type { SimEndpoint } from './simEndpoint.ts'

/** Longest time after a change during which a command may still be based on the resources that it replaced. */
const MAX_STALE_COMMAND_MS = 25_000
/** Longest time between a crash and its detection in the endpoint's own data centre. */
const MAX_CRASH_DETECTION_MS = 8_000
/** Longest time for which another data centre's counts are used after its holder stopped: two renewals and one read of the leases. */
const MAX_STALE_COUNT_MS = 7_500

interface RunningCommand { control: string, untilMs: number }

/** Checks the fleet's invariants whenever an endpoint accepts a command. */
export class InvariantChecker {
  readonly violations: string[] = []
  readonly #endpoints: SimEndpoint[]
  readonly #history: Array<{ atMs: number, snapshot: ResourceSnapshot }> = []
  readonly #holders = new Map<string, string>()
  readonly #lastControl = new Map<string, string>()
  readonly #previousControls = new Map<string, Set<string>>()
  readonly #runningCommands = new Map<string, RunningCommand[]>()
  commandCount = 0

  constructor (endpoints: SimEndpoint[]) {
    this.#endpoints = endpoints
  }

  recordSnapshot (snapshot: ResourceSnapshot): void {
    this.#history.push({ atMs: performance.now(), snapshot })
  }

  /** Checks a command that an endpoint accepts; `untilMs` is the time at which it ends. */
  checkCommand (control: string, call: CommandRequest, endpoint: SimEndpoint, untilMs: number): void {
    this.commandCount++
    if (call.command.type === 'weights') this.#checkWeights(call, endpoint)
    if (call.fencing === 0) return
    this.#checkHolder(control, call, endpoint, untilMs)
    if (call.command.type === 'role' && call.command.role === 'drain' && endpoint.role !== 'drain') this.#checkFloor(endpoint)
  }

  #checkWeights ({ command, fencing }: CommandRequest, endpoint: SimEndpoint): void {
    if (command.type !== 'weights') return
    const now = performance.now()
    const recent = this.#history.filter((_, n) => (this.#history[n + 1]?.atMs ?? Infinity) >= now - MAX_STALE_COMMAND_MS)
    const allowed = recent.flatMap(entry => listPoolGoals(entry.snapshot.resources)).flatMap(goal => [goal.inForce, goal.target])
    if (!allowed.some(target => target.weightsVersion === command.weights.weightsVersion)) this.#recordViolation(`${endpoint.name}: commanded to load ${command.weights.weightsVersion}, which no recent goal contains`)
    if (fencing === 0 || endpoint.weights === null || endpoint.weights === command.weights.weightsVersion) return
    if (endpoint.role !== 'drain') this.#recordViolation(`${endpoint.name}: loads weights while in service`)
    const isDrainTimedOut = now - endpoint.drainedAtMs >= 30_000
    if (endpoint.running > 0 && !isDrainTimedOut) this.#recordViolation(`${endpoint.name}: loads weights with ${endpoint.running} requests in flight`)
    const loading = this.#endpoints.filter(entry => entry !== endpoint && entry.loading !== null).length + 1
    if (loading > this.#readPool().maxParallelLoads) this.#recordViolation(`${loading} loads at once, above maxParallelLoads`)
  }

  #checkHolder (control: string, { fencing }: CommandRequest, endpoint: SimEndpoint, untilMs: number): void {
    const now = performance.now()
    const leaseToken = `${endpoint.dataCentre}/${fencing}`
    if ((this.#holders.get(leaseToken) ?? control) !== control) this.#recordViolation(`${leaseToken}: two holders with the same fencing token`)
    this.#holders.set(leaseToken, control)
    const name = endpoint.checksFencing ? endpoint.incarnation : endpoint.name
    const past = this.#previousControls.get(name) ?? new Set()
    const last = this.#lastControl.get(name)
    if (last !== undefined && last !== control) past.add(`${last}`)
    if (past.has(control) && last !== control && !this.#holdsLeaseAgain(control, endpoint, fencing)) this.#recordViolation(`${name}: ${control} sends a command after ${last} took over`)
    this.#previousControls.set(name, past)
    this.#lastControl.set(name, control)
    const running = (this.#runningCommands.get(name) ?? []).filter(entry => entry.untilMs > now)
    if (running.some(entry => entry.control !== control) && !endpoint.checksFencing) this.#recordViolation(`${name}: commands of two holders run at once`)
    this.#runningCommands.set(name, [...running, { control, untilMs }])
  }

  /** A VM may hold the lease again later, under a fencing token greater than all earlier ones. */
  #holdsLeaseAgain (control: string, endpoint: SimEndpoint, fencing: number): boolean {
    const fencingTokens = [...this.#holders.keys()].filter(key => key.startsWith(`${endpoint.dataCentre}/`)).map(key => Number(key.split('/')[1]))
    return fencing >= Math.max(...fencingTokens) && this.#holders.get(`${endpoint.dataCentre}/${fencing}`) === control
  }

  #checkFloor (drained: SimEndpoint): void {
    const now = performance.now()
    const remaining = this.#endpoints.filter(entry => entry !== drained && entry.role === 'serve' && entry.loading === null)
    const isCrashUndetected = (entry: SimEndpoint) => entry.healthyAtMs >= now - MAX_CRASH_DETECTION_MS - (entry.dataCentre === drained.dataCentre ? 0 : MAX_STALE_COUNT_MS)
    const inService = remaining.filter(entry => (entry.isUp && entry.weights !== null) || isCrashUndetected(entry)).length
    if (inService < this.#readPool().floor) this.#recordViolation(`${drained.name}: drained with only ${inService} others in service, below the floor`)
  }

  #readPool () {
    return listPoolGoals(this.#history.at(-1)?.snapshot.resources ?? [])[0].spec
  }

  #recordViolation (text: string): void {
    this.violations.push(`${Math.round(performance.now())} ms: ${text}`)
  }
}
