import type { OrderCall } from '../fleetPorts.ts'
import { listPoolGoals } from '../poolGoal.ts'
import type { ResourceSnapshot } from 'knapweedshunt-types'
import type { SimEndpoint } from './simEndpoint.ts'

/** Longest time between a change and the last order that may still follow what it replaced. */
const MAX_STALE_COMMAND_MS = 25_000
/** Longest time between a crash and its being seen in its own data centre. */
const MAX_CRASH_DETECTION_MS = 8_000
/** Longest time for which another data centre's counts are believed after its holder stopped: two renewals and one look. */
const MAX_STALE_COUNT_MS = 7_500

interface RunningCommand { control: string, untilMs: number }

/** What must hold whenever an endpoint accepts an order. */
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

  /** An order arrives and is accepted; `untilMs` is when it ends. */
  checkCommand (control: string, call: OrderCall, endpoint: SimEndpoint, untilMs: number): void {
    this.commandCount++
    if (call.order.type === 'weights') this.#checkWeights(call, endpoint)
    if (call.fencing === 0) return
    this.#checkHolder(control, call, endpoint, untilMs)
    if (call.order.type === 'role' && call.order.role === 'drain' && endpoint.role !== 'drain') this.#checkFloor(endpoint)
  }

  #checkWeights ({ order, fencing }: OrderCall, endpoint: SimEndpoint): void {
    if (order.type !== 'weights') return
    const now = performance.now()
    const recent = this.#history.filter((_, n) => (this.#history[n + 1]?.atMs ?? Infinity) >= now - MAX_STALE_COMMAND_MS)
    const allowed = recent.flatMap(entry => listPoolGoals(entry.snapshot.resources)).flatMap(goal => [goal.inForce, goal.target])
    if (!allowed.some(target => target.weightsVersion === order.weights.weightsVersion)) this.#recordViolation(`${endpoint.name}: weights ${order.weights.weightsVersion} nobody asked for`)
    if (fencing === 0 || endpoint.weights === null || endpoint.weights === order.weights.weightsVersion) return
    if (endpoint.role !== 'drain') this.#recordViolation(`${endpoint.name}: loads in service`)
    const isBounded = now - endpoint.drainedAtMs >= 30_000
    if (endpoint.running > 0 && !isBounded) this.#recordViolation(`${endpoint.name}: loads with ${endpoint.running} requests in flight`)
    const loading = this.#endpoints.filter(entry => entry !== endpoint && entry.loading !== null).length + 1
    if (loading > this.#readPool().maxParallelLoads) this.#recordViolation(`${loading} loads at once`)
  }

  #checkHolder (control: string, { fencing }: OrderCall, endpoint: SimEndpoint, untilMs: number): void {
    const now = performance.now()
    const number = `${endpoint.dataCentre}/${fencing}`
    if ((this.#holders.get(number) ?? control) !== control) this.#recordViolation(`${number}: two holders with one number`)
    this.#holders.set(number, control)
    const name = endpoint.checksFencing ? endpoint.incarnation : endpoint.name
    const past = this.#previousControls.get(name) ?? new Set()
    const last = this.#lastControl.get(name)
    if (last !== undefined && last !== control) past.add(`${last}`)
    if (past.has(control) && last !== control && !this.#holdsLeaseAgain(control, endpoint, fencing)) this.#recordViolation(`${name}: ${control} commands after ${last}`)
    this.#previousControls.set(name, past)
    this.#lastControl.set(name, control)
    const running = (this.#runningCommands.get(name) ?? []).filter(entry => entry.untilMs > now)
    if (running.some(entry => entry.control !== control) && !endpoint.checksFencing) this.#recordViolation(`${name}: two holders command at once`)
    this.#runningCommands.set(name, [...running, { control, untilMs }])
  }

  /** A VM may hold the lease again later, under a number that is greater than all before. */
  #holdsLeaseAgain (control: string, endpoint: SimEndpoint, fencing: number): boolean {
    const numbers = [...this.#holders.keys()].filter(key => key.startsWith(`${endpoint.dataCentre}/`)).map(key => Number(key.split('/')[1]))
    return fencing >= Math.max(...numbers) && this.#holders.get(`${endpoint.dataCentre}/${fencing}`) === control
  }

  #checkFloor (drained: SimEndpoint): void {
    const now = performance.now()
    const left = this.#endpoints.filter(entry => entry !== drained && entry.role === 'serve' && entry.loading === null)
    const isUnseen = (entry: SimEndpoint) => entry.healthyAtMs >= now - MAX_CRASH_DETECTION_MS - (entry.dataCentre === drained.dataCentre ? 0 : MAX_STALE_COUNT_MS)
    const inService = left.filter(entry => (entry.isUp && entry.weights !== null) || isUnseen(entry)).length
    if (inService < this.#readPool().floor) this.#recordViolation(`${drained.name}: drained, ${inService} left in service`)
  }

  #readPool () {
    return listPoolGoals(this.#history.at(-1)?.snapshot.resources ?? [])[0].spec
  }

  #recordViolation (text: string): void {
    this.violations.push(`${Math.round(performance.now())} ms: ${text}`)
  }
}
