import type { Logger } from 'knapweedshunt-logger'
import type { Platform } from 'knapweedshunt-platform'
import type { EndpointName, FencingNumber, Incarnation, PoolName, VmId } from 'knapweedshunt-types'
import { groupBy, readElapsedMs, sleep } from 'knapweedshunt-utils'
import { LeaseTask } from '../leaseTask.ts'
import { LoadingEndpoint } from './loadingEndpoint.ts'
import { planWave } from './planWave.ts'
import { DEFAULT_WAVE_OPTIONS } from './waveOptions.ts'
import type { WaveOptions } from './waveOptions.ts'
import type { HeardNotice, WaveEndpoint, WaveGoal, WaveNotice, WavePorts } from './waveTypes.ts'

/** Name of the lease on giving orders to endpoints. */
export const WAVE_LEASE = 'waves'

/** What the task is made of. */
export interface WaveParts {
  vm: VmId
  incarnation: Incarnation
  platform: Platform
  ports: WavePorts
  log: Logger
  options?: WaveOptions
}

/**
 * Brings endpoints to the weights wished, a part of each pool at a time. One VM does it: the holder of a lease that is
 * taken only while there is something to do. A newer version goes before the rest of an older one.
 */
export class WaveTask {
  readonly #parts: WaveParts
  readonly #options: WaveOptions
  readonly #lease: LeaseTask
  readonly #loading = new Map<EndpointName, LoadingEndpoint>()
  /** Last notices of this VM. */
  readonly #told = new Map<PoolName, WaveNotice>()
  #workSinceMs: number | null = null
  #fencing: FencingNumber | null = null
  #orderedAtMs = -Infinity

  constructor (parts: WaveParts) {
    this.#parts = parts
    this.#options = parts.options ?? DEFAULT_WAVE_OPTIONS
    this.#lease = new LeaseTask(parts.platform, WAVE_LEASE, parts.incarnation, this.#options.lease)
  }

  /** Runs until the signal aborts, then gives the lease up. A VM that is to stop contends no more, but ends what it began. */
  async run (signal: AbortSignal, isStopping: () => boolean): Promise<void> {
    while (!signal.aborted) {
      await this.#step(isStopping())
      await sleep(this.#options.stepMs, signal)
    }
    if (this.#lease.readFencing(true) === null) return
    const endedFencing = await this.#lease.release()
    for (const notice of this.#told.values()) await this.#announce({ ...notice, loading: [], endedFencing, isLeaving: true })
  }

  async #step (isStopping: boolean): Promise<void> {
    const goals = this.#parts.ports.listGoals()
    const endpoints = this.#parts.ports.listEndpoints()
    const work = goals.filter(goal => endpoints.some(one => one.model === goal.model && one.version < goal.version))
    this.#dropLoading(endpoints)
    if (work.length === 0 && this.#loading.size === 0) return await this.#rest(goals, endpoints)
    this.#workSinceMs ??= performance.now()
    const isHeld = this.#lease.readFencing(true) !== null
    const last = this.#listNotices(endpoints)
    if (!isHeld) this.#noteEnded(last)
    if (isHeld || (!isStopping && this.#isDue(last))) this.#lease.step().catch(error => this.#parts.log.warn('Lease step failed.', { reason: (error as Error).message }))
    this.#noteFencing(this.#lease.readFencing(false))
    if (this.#fencing === null) return
    for (const goal of work) await this.#stepGoal(goal, endpoints.filter(one => one.model === goal.model))
  }

  /** Nothing is to be done: the lease is given up, and all VMs hear of it and that all endpoints may be used again. */
  async #rest (goals: WaveGoal[], endpoints: WaveEndpoint[]): Promise<void> {
    this.#workSinceMs = null
    if (this.#fencing === null) return
    this.#noteFencing(null)
    const endedFencing = await this.#lease.release()
    for (const goal of goals) {
      const pools = groupBy(endpoints.filter(one => one.model === goal.model), one => one.pool)
      for (const [pool, members] of pools) await this.#announce({ vm: this.#parts.vm, pool, ...goal, loading: [], reached: members.map(one => one.endpoint), endedFencing, isLeaving: false })
    }
  }

  /** Last notice of each pool. */
  #listNotices (endpoints: WaveEndpoint[]): HeardNotice[] {
    return [...groupBy(endpoints, one => one.pool).keys()].map(pool => this.#parts.ports.readNotice(pool)).filter(one => one !== null)
  }

  /** The newest notice tells whether its holder has given the lease up; one lease stands for all pools. */
  #noteEnded (notices: HeardNotice[]): void {
    const [newest] = notices.toSorted((a, b) => a.ageMs - b.ageMs)
    const fencing = newest?.notice.endedFencing ?? null
    if (fencing !== null) this.#lease.noteEnded({ fencing, atMs: readElapsedMs() - newest.ageMs })
  }

  /** The VM that gave the last orders goes first while these may still run; the others follow by rank once it is silent, leaves, or its orders have ended. */
  #isDue (notices: HeardNotice[]): boolean {
    const { ports, vm } = this.#parts
    if (notices.some(one => one.notice.vm === vm)) return true
    const { takeOverMs, placeMs, lease } = this.#options
    const sinceMs = performance.now() - (this.#workSinceMs ?? performance.now())
    const silentMs = Math.min(sinceMs, ...notices.map(one => one.ageMs))
    if (notices.every(one => one.notice.isLeaving)) return silentMs >= ports.readRank() * placeMs
    const hasEnded = notices.every(one => one.notice.endedFencing !== null && one.ageMs >= lease.longestOrderMs)
    return silentMs >= (hasEnded ? placeMs : takeOverMs) + ports.readRank() * placeMs
  }

  #noteFencing (fencing: FencingNumber | null): void {
    if (fencing === this.#fencing) return
    if (fencing === null) {
      if (this.#fencing !== null) this.#parts.ports.record({ type: 'leaseLost', lease: WAVE_LEASE, fencing: this.#fencing })
      for (const loading of this.#loading.values()) loading.stop()
      this.#loading.clear()
    } else this.#parts.ports.record({ type: 'leaseTaken', lease: WAVE_LEASE, fencing })
    this.#fencing = fencing
  }

  async #stepGoal (goal: WaveGoal, endpoints: WaveEndpoint[]): Promise<void> {
    for (const [pool, members] of groupBy(endpoints, one => one.pool)) {
      const nowMs = performance.now()
      const own = [...this.#loading.values()].filter(one => members.some(member => member.endpoint === one.endpoint))
      const plan = planWave({
        endpoints: members,
        target: goal.version,
        ordered: own.filter(one => !one.isResting(nowMs)).map(one => one.endpoint),
        draining: own.filter(one => !one.isResting(nowMs) && one.isDraining).map(one => one.endpoint),
        sinceOrderMs: nowMs - this.#orderedAtMs,
        resting: own.filter(one => one.isResting(nowMs)).map(one => one.endpoint),
        parallelShare: this.#options.parallelShare
      })
      if (plan.order.length > 0) await this.#announce({ vm: this.#parts.vm, pool, model: goal.model, version: goal.version, loading: plan.loading, reached: plan.reached, endedFencing: null, isLeaving: false })
      if (plan.order.length > 0) this.#orderedAtMs = performance.now()
      for (const name of plan.order) this.#startLoad(goal, members.find(member => member.endpoint === name))
    }
  }

  /** Orders follow also when nobody hears of them: an endpoint that loads says so to each request. */
  async #announce (notice: WaveNotice): Promise<void> {
    this.#told.set(notice.pool, notice)
    try {
      await this.#parts.ports.announce(notice)
    } catch (error) {
      this.#parts.log.warn('Wave not announced.', { pool: notice.pool, reason: (error as Error).message })
    }
  }

  #startLoad (goal: WaveGoal, endpoint: WaveEndpoint | undefined): void {
    if (endpoint === undefined) return
    const loading = new LoadingEndpoint({
      goal,
      readWished: () => this.#parts.ports.listGoals().find(one => one.model === goal.model)?.version ?? goal.version,
      endpoint,
      options: this.#options,
      ports: this.#parts.ports,
      readFencing: () => this.#lease.readFencing(false)
    })
    this.#loading.set(endpoint.endpoint, loading)
    loading.run().catch(error => this.#parts.log.warn('Load failed inside.', { endpoint: endpoint.endpoint, reason: (error as Error).message }))
  }

  /** Endpoints that are done, gone, restarted or rested. */
  #dropLoading (endpoints: WaveEndpoint[]): void {
    const nowMs = performance.now()
    for (const [name, loading] of this.#loading) {
      const endpoint = endpoints.find(one => one.endpoint === name)
      if (loading.isDone || loading.hasRested(nowMs) || endpoint?.incarnation !== loading.incarnation) {
        loading.stop()
        this.#loading.delete(name)
      }
    }
  }
}
