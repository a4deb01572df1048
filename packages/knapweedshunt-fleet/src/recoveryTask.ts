import type { EndpointName, EndpointView, Incarnation, ResourceOf } from 'knapweedshunt-types'
import { runEvery } from 'knapweedshunt-utils'
import type { FleetOptions } from './fleetOptions.ts'
import { RECOVERY_FENCING } from './fleetPorts.ts'
import type { FleetPorts } from './fleetPorts.ts'
import { LEASE_TABLE, buildFleetLeaseKey } from './leaseState.ts'
import { hasGoalWeights } from './listServingWeights.ts'
import { CommandSender } from './commandSender.ts'
import type { PoolGoal } from './poolGoal.ts'
import { PoolIndex } from './poolIndex.ts'

interface TrackedWeights {
  incarnation: Incarnation
  /** The incarnation replaced another one and has not yet had the weights of the goal. */
  isRestarted: boolean
  /** Time since which the weights have been missing; null while no recovery is needed. */
  missingSinceMs: number | null
}

/**
 * Reloads the weights in force on endpoints that lost theirs while the platform's store is unreachable.
 *
 * No lease can be renewed during such an outage. The command only repeats an earlier decision, so it is safe for two VMs to
 * send it; the delay by rank makes that rare. No endpoint is moved to other weights or drained.
 */
export class RecoveryTask {
  readonly #options: FleetOptions
  readonly #ports: FleetPorts
  readonly #commandSender: CommandSender
  readonly #poolIndex: PoolIndex
  readonly #tracked = new Map<EndpointName, TrackedWeights>()

  constructor (options: FleetOptions, ports: FleetPorts) {
    this.#options = options
    this.#ports = ports
    this.#commandSender = new CommandSender(ports, options.lease.maxCommandMs)
    this.#poolIndex = new PoolIndex(options.dataCentre)
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await runEvery(this.#options.planIntervalMs, signal, () => this.#recoverDueEndpoints())
  }

  async #recoverDueEndpoints (): Promise<void> {
    const pools = this.#poolIndex.listPools(this.#ports.readResources())
    const views = new Map(this.#ports.listViews().map(view => [view.endpoint, view]))
    for (const { goal, localEndpoints } of pools) {
      const due = localEndpoints.filter(endpoint => this.#isDue(goal, endpoint, views.get(endpoint.name)))
      if (due.length > 0 && await this.#isStoreUnreachable()) this.#recover(goal, due, views)
    }
  }

  #isDue (goal: PoolGoal, endpoint: ResourceOf<'Endpoint'>, view: EndpointView | undefined): boolean {
    if (view === undefined) return false
    const tracked = this.#trackWeights(goal, view)
    if (tracked.missingSinceMs === null || endpoint.spec.draining) return false
    const delayMs = this.#options.recoveryDelayMs + this.#ports.readRank() * this.#options.recoveryRankDelayMs
    return performance.now() - tracked.missingSinceMs >= delayMs && !this.#commandSender.hasPendingCommand(endpoint.name, view, this.#options.gossipLagMs)
  }

  #trackWeights (goal: PoolGoal, view: EndpointView): TrackedWeights {
    const previous = this.#tracked.get(view.endpoint)
    const isSame = previous?.incarnation === view.incarnation
    const isRestarted = (previous !== undefined && !isSame) || (isSame && previous.isRestarted)
    const isMissing = hasLostWeights(goal, view, isRestarted)
    const missingSinceMs = isMissing ? (isSame ? previous.missingSinceMs : null) ?? performance.now() : null
    const tracked: TrackedWeights = { incarnation: view.incarnation, isRestarted: isRestarted && !hasGoalWeights(goal, view), missingSinceMs }
    this.#tracked.set(view.endpoint, tracked)
    return tracked
  }

  /** While the store answers, the lease holder recovers endpoints, within the pool's `maxParallelLoads`. */
  async #isStoreUnreachable (): Promise<boolean> {
    try {
      await this.#ports.platform.read(LEASE_TABLE, buildFleetLeaseKey(this.#options.dataCentre))
      return false
    } catch {
      return true
    }
  }

  #recover (goal: PoolGoal, due: Array<ResourceOf<'Endpoint'>>, views: Map<EndpointName, EndpointView>): void {
    const freeSlots = Math.max(0, goal.spec.maxParallelLoads - this.#commandSender.inFlightCount)
    for (const endpoint of due.slice(0, freeSlots)) {
      const incarnation = views.get(endpoint.name)?.incarnation ?? ''
      this.#ports.log.info('Store unreachable; reloading lost weights without a lease.', { endpoint: endpoint.name, weightsVersion: goal.inForce.weightsVersion })
      this.#commandSender.send({ type: 'weights', endpoint: endpoint.name, incarnation, weights: goal.inForce }, endpoint.spec, () => RECOVERY_FENCING)
    }
  }
}

/** Whether the endpoint is live without weights, or has restarted with weights that are not the goal's and has nothing in flight. */
function hasLostWeights (goal: PoolGoal, view: EndpointView, isRestarted: boolean): boolean {
  if (view.state !== 'live') return false
  if (view.weightsVersion === null) return true
  return isRestarted && !hasGoalWeights(goal, view) && view.load?.running === 0 && view.load.queued === 0
}
