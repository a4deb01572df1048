import type { Logger } from 'knapweedshunt-logger'
import type { Platform } from 'knapweedshunt-platform'
import type { EndpointName, FencingToken, Incarnation, PoolName, VmId } from 'knapweedshunt-types'
import { groupBy, sleep } from 'knapweedshunt-utils'
import { LeaseTask } from '../leaseTask.ts'
import { EndpointLoader } from './endpointLoader.ts'
import { planWave } from './planWave.ts'
import { DEFAULT_WAVE_OPTIONS } from './waveOptions.ts'
import type { WaveOptions } from './waveOptions.ts'
import type { ReceivedNotice, WaveEndpoint, WaveGoal, WaveNotice, WavePorts } from './waveTypes.ts'

/** Name of the lease that permits a VM to send load commands to endpoints. */
export const WAVE_LEASE = 'waves'

/** Number of VMs, by rank, that follow the row of the lease while there is work. */
const FOLLOWER_COUNT = 3

/** Collaborators and inputs of a {@link WaveTask}. */
export interface WaveTaskDependencies {
  vm: VmId
  incarnation: Incarnation
  platform: Platform
  ports: WavePorts
  log: Logger
  options?: WaveOptions
}

/** What a VM says of itself at each step. */
export interface WaveConditions {
  /** While true, the VM no longer contends for the lease but finishes its work if it holds it. */
  isStopping (): boolean
  /** While true, another VM reaches more endpoints, and this one leaves the lease to it. */
  isOutreached (): boolean
}

/**
 * Brings endpoints to the target weights, a share of each pool at a time. Only the holder of a lease does so, and the lease
 * is held only while there is work. When a newer target appears, the remaining endpoints skip the older one.
 */
export class WaveTask {
  readonly #dependencies: WaveTaskDependencies
  readonly #options: WaveOptions
  readonly #lease: LeaseTask
  readonly #loaders = new Map<EndpointName, EndpointLoader>()
  /** Loads of each endpoint that were given up, one after the other. */
  readonly #failureCounts = new Map<EndpointName, number>()
  /** Last notice that this VM announced for each pool. */
  readonly #lastNotices = new Map<PoolName, WaveNotice>()
  #workSinceMs: number | null = null
  #fencing: FencingToken | null = null
  #lastCommandAtMs = -Infinity

  constructor (dependencies: WaveTaskDependencies) {
    this.#dependencies = dependencies
    this.#options = dependencies.options ?? DEFAULT_WAVE_OPTIONS
    this.#lease = new LeaseTask(dependencies.platform, WAVE_LEASE, dependencies.incarnation, this.#options.lease, dependencies.log)
  }

  /** Runs until the signal aborts, then releases the lease. */
  async run (signal: AbortSignal, { isStopping, isOutreached }: WaveConditions): Promise<void> {
    const renewing = this.#renewLease(signal)
    while (!signal.aborted) {
      if (isOutreached()) await this.#handOver()
      else await this.#step(isStopping())
      await sleep(this.#options.stepIntervalMs, signal)
    }
    await renewing
    await this.#handOver()
  }

  /** Renews the lease while it is held, also while a step waits for an answer of the table service. */
  async #renewLease (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#lease.readFencing(true) !== null) this.#lease.runOnce().catch(error => this.#recordFailedStep(error))
      await sleep(this.#options.stepIntervalMs, signal)
    }
  }

  #recordFailedStep (error: Error): void {
    this.#dependencies.log.warn('Lease read or renewal failed.', { reason: error.message })
  }

  /** Releases the lease, if it is held, so that other VMs need not wait until it expires. */
  async #handOver (): Promise<void> {
    if (this.#lease.readFencing(true) === null) return
    this.#updateFencing(null)
    const endedFencing = await this.#lease.release()
    for (const notice of this.#lastNotices.values()) await this.#announce({ ...notice, loading: [], endedFencing, isLeaving: true })
  }

  async #step (isStopping: boolean): Promise<void> {
    const goals = this.#dependencies.ports.listGoals()
    const endpoints = this.#dependencies.ports.listEndpoints()
    const outdatedGoals = goals.filter(goal => endpoints.some(one => one.model === goal.model && one.version < goal.version))
    this.#removeFinishedLoaders(endpoints)
    if (outdatedGoals.length === 0 && this.#loaders.size === 0) return await this.#finishWork(goals, endpoints)
    this.#workSinceMs ??= performance.now()
    const isHeld = this.#lease.readFencing(true) !== null
    const notices = this.#listNotices(endpoints)
    if (!isHeld) this.#recordEndedLease(notices)
    if (!isHeld && !isStopping) this.#watchLease(notices)
    const waitMs = this.#lease.computeWaitMs()
    // While the commands of the last holder are waited for, the endpoints that load first already drain.
    this.#updateFencing(waitMs !== null && waitMs <= this.#options.maxDrainMs ? this.#lease.readFencing(true) : null)
    if (this.#fencing === null) return
    for (const goal of outdatedGoals) await this.#stepGoal(goal, endpoints.filter(one => one.model === goal.model))
  }

  /** Releases the lease when no work is left, and announces that release and that all endpoints may be used again. */
  async #finishWork (goals: WaveGoal[], endpoints: WaveEndpoint[]): Promise<void> {
    this.#workSinceMs = null
    this.#failureCounts.clear()
    if (this.#fencing === null) return
    this.#updateFencing(null)
    const endedFencing = await this.#lease.release()
    for (const goal of goals) {
      const pools = groupBy(endpoints.filter(one => one.model === goal.model), one => one.pool)
      for (const [pool, members] of pools) await this.#announce({ vm: this.#dependencies.vm, pool, ...goal, loading: [], reached: members.map(one => one.endpoint), endedFencing, isLeaving: false })
    }
  }

  /** Lists the last received notice of each pool. */
  #listNotices (endpoints: WaveEndpoint[]): ReceivedNotice[] {
    return [...groupBy(endpoints, one => one.pool).keys()].map(pool => this.#dependencies.ports.readNotice(pool)).filter(one => one !== null)
  }

  /** The newest notice of any pool decides whether the lease was released, because one lease covers all pools. */
  #recordEndedLease (notices: ReceivedNotice[]): void {
    const [newest] = notices.toSorted((a, b) => a.ageMs - b.ageMs)
    const fencing = newest?.notice.endedFencing ?? null
    if (fencing !== null) this.#lease.recordReleasedLease({ fencing, atMs: performance.now() - newest.ageMs })
  }

  /** The first VMs by rank follow the lease from the beginning, so that its expiry is known when the holder is missed; each of the others some time before it may contend. */
  #watchLease (notices: ReceivedNotice[]): void {
    const { takeoverDelayMs, rankDelayMs } = this.#options
    const rank = this.#dependencies.ports.readRank()
    if (this.#shouldContend(notices)) this.#lease.runOnce().catch(error => this.#recordFailedStep(error))
    else if (rank < FOLLOWER_COUNT || this.#measureSilenceMs(notices) >= takeoverDelayMs / 2 + (rank - FOLLOWER_COUNT) * rankDelayMs) this.#lease.watchOnce().catch(error => this.#recordFailedStep(error))
  }

  /** Time since the last notice, or since there is work. */
  #measureSilenceMs (notices: ReceivedNotice[]): number {
    return Math.min(performance.now() - (this.#workSinceMs ?? performance.now()), ...notices.map(one => one.ageMs))
  }

  /** The VM that sent the last commands may contend at once, while these may still run. The others follow by rank once it is silent, leaves, or its commands must have ended. */
  #shouldContend (notices: ReceivedNotice[]): boolean {
    const { ports, vm } = this.#dependencies
    if (notices.some(one => one.notice.vm === vm)) return true
    const { takeoverDelayMs, rankDelayMs, lease } = this.#options
    const silentMs = this.#measureSilenceMs(notices)
    if (notices.every(one => one.notice.isLeaving)) return silentMs >= ports.readRank() * rankDelayMs
    const hasEnded = notices.every(one => one.notice.endedFencing !== null && one.ageMs >= lease.maxCommandMs)
    return silentMs >= (hasEnded ? rankDelayMs : takeoverDelayMs) + ports.readRank() * rankDelayMs
  }

  #updateFencing (fencing: FencingToken | null): void {
    if (fencing === this.#fencing) return
    if (fencing === null) {
      if (this.#fencing !== null) this.#dependencies.ports.record({ type: 'leaseLost', lease: WAVE_LEASE, fencing: this.#fencing })
      for (const loader of this.#loaders.values()) loader.stop()
      this.#loaders.clear()
    } else this.#dependencies.ports.record({ type: 'leaseTaken', lease: WAVE_LEASE, fencing })
    this.#fencing = fencing
  }

  async #stepGoal (goal: WaveGoal, endpoints: WaveEndpoint[]): Promise<void> {
    for (const [pool, members] of groupBy(endpoints, one => one.pool)) {
      const nowMs = performance.now()
      const poolLoaders = [...this.#loaders.values()].filter(one => members.some(member => member.endpoint === one.endpoint))
      const plan = planWave({
        endpoints: members,
        target: goal.version,
        inProgress: poolLoaders.filter(one => !one.isBackingOff(nowMs)).map(one => one.endpoint),
        draining: poolLoaders.filter(one => !one.isBackingOff(nowMs) && one.isDraining).map(one => one.endpoint),
        sinceCommandMs: nowMs - this.#lastCommandAtMs,
        backingOff: poolLoaders.filter(one => one.isBackingOff(nowMs)).map(one => one.endpoint),
        failed: members.filter(one => this.#failureCounts.has(one.endpoint)).map(one => one.endpoint),
        parallelShare: this.#options.parallelShare
      })
      const hasGivenUp = poolLoaders.some(one => one.isBackingOff(nowMs) && this.#lastNotices.get(pool)?.loading.includes(one.endpoint))
      if (plan.toLoad.length > 0 || hasGivenUp) await this.#announce({ vm: this.#dependencies.vm, pool, model: goal.model, version: goal.version, loading: plan.loading, reached: plan.reached, endedFencing: null, isLeaving: false })
      if (plan.toLoad.length > 0) this.#lastCommandAtMs = performance.now()
      for (const name of plan.toLoad) this.#startLoad(goal, members.find(member => member.endpoint === name))
    }
  }

  /** A failed announcement does not stop the loads: an endpoint that is loading tells so in reply to each request. */
  async #announce (notice: WaveNotice): Promise<void> {
    this.#lastNotices.set(notice.pool, notice)
    try {
      await this.#dependencies.ports.announce(notice)
    } catch (error) {
      this.#dependencies.log.warn('Wave notice could not be announced; loads continue.', { pool: notice.pool, reason: (error as Error).message })
    }
  }

  #startLoad (goal: WaveGoal, endpoint: WaveEndpoint | undefined): void {
    if (endpoint === undefined) return
    const loader = new EndpointLoader({
      goal,
      readTargetVersion: () => this.#dependencies.ports.listGoals().find(one => one.model === goal.model)?.version ?? goal.version,
      endpoint,
      options: this.#options,
      ports: this.#dependencies.ports,
      failureCount: this.#failureCounts.get(endpoint.endpoint) ?? 0,
      readWaitMs: () => this.#lease.computeWaitMs() ?? 0,
      readFencing: () => this.#lease.readFencing(false)
    })
    this.#loaders.set(endpoint.endpoint, loader)
    loader.run().catch(error => this.#dependencies.log.warn('Weights load ended with an internal error.', { endpoint: endpoint.endpoint, reason: (error as Error).message }))
  }

  /** Removes loaders whose endpoint is done, gone, restarted, or due for a retry. */
  #removeFinishedLoaders (endpoints: WaveEndpoint[]): void {
    const nowMs = performance.now()
    for (const [name, loader] of this.#loaders) {
      const endpoint = endpoints.find(one => one.endpoint === name)
      if (loader.isDone || loader.isRetryDue(nowMs) || endpoint?.incarnation !== loader.incarnation) {
        if (loader.isRetryDue(nowMs)) this.#failureCounts.set(name, (this.#failureCounts.get(name) ?? 0) + 1)
        else this.#failureCounts.delete(name)
        loader.stop()
        this.#loaders.delete(name)
      }
    }
  }
}
