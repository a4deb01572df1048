import type { EndpointName, EndpointView, Incarnation, ResourceOf } from 'knapweedshunt-types'
import { runEvery } from 'knapweedshunt-utils'
import type { FleetOptions } from './fleetOptions.ts'
import { RECOVERY_FENCING } from './fleetPorts.ts'
import type { FleetPorts } from './fleetPorts.ts'
import { LEASE_TABLE, nameFleetLease } from './leaseState.ts'
import { isWished } from './listServingWeights.ts'
import { OrderDesk } from './orderDesk.ts'
import type { PoolGoal } from './poolGoal.ts'
import { PoolIndex } from './poolIndex.ts'

interface Watched {
  incarnation: Incarnation
  /** The incarnation replaced another one and has not had the weights it is to have yet. */
  isReturned: boolean
  /** Since when it is without these weights, null while it needs nothing. */
  lostSinceMs: number | null
}

/**
 * Brings endpoints that lost their weights back to those in force while the platform's store is away.
 *
 * No lease can be renewed then. The order repeats what was decided before, so that two VMs may give it; their rank makes
 * that rare. Nothing is moved and nothing is drained.
 */
export class RecoveryTask {
  readonly #options: FleetOptions
  readonly #ports: FleetPorts
  readonly #desk: OrderDesk
  readonly #index: PoolIndex
  readonly #watched = new Map<EndpointName, Watched>()

  constructor (options: FleetOptions, ports: FleetPorts) {
    this.#options = options
    this.#ports = ports
    this.#desk = new OrderDesk(ports, options.lease.longestOrderMs)
    this.#index = new PoolIndex(options.dataCentre)
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await runEvery(this.#options.stepMs, signal, () => this.#step())
  }

  async #step (): Promise<void> {
    const steps = this.#index.listSteps(this.#ports.readResources())
    const views = new Map(this.#ports.listViews().map(view => [view.endpoint, view]))
    for (const { goal, own } of steps) {
      const due = own.filter(endpoint => this.#isDue(goal, endpoint, views.get(endpoint.name)))
      if (due.length > 0 && await this.#isStoreAway()) this.#recover(goal, due, views)
    }
  }

  #isDue (goal: PoolGoal, endpoint: ResourceOf<'Endpoint'>, view: EndpointView | undefined): boolean {
    if (view === undefined) return false
    const watched = this.#watchEndpoint(goal, view)
    if (watched.lostSinceMs === null || endpoint.spec.draining) return false
    const delayMs = this.#options.recoveryDelayMs + this.#ports.readRank() * this.#options.recoveryRankMs
    return performance.now() - watched.lostSinceMs >= delayMs && !this.#desk.isBusy(endpoint.name, view, this.#options.reportLagMs)
  }

  #watchEndpoint (goal: PoolGoal, view: EndpointView): Watched {
    const known = this.#watched.get(view.endpoint)
    const isSame = known?.incarnation === view.incarnation
    const isReturned = (known !== undefined && !isSame) || (isSame && known.isReturned)
    const isLost = hasLostWeights(goal, view, isReturned)
    const lostSinceMs = isLost ? (isSame ? known.lostSinceMs : null) ?? performance.now() : null
    const watched: Watched = { incarnation: view.incarnation, isReturned: isReturned && !isWished(goal, view), lostSinceMs }
    this.#watched.set(view.endpoint, watched)
    return watched
  }

  /** While the store answers, the lease's holder sees to it, within the pool's parallel loads. */
  async #isStoreAway (): Promise<boolean> {
    try {
      await this.#ports.platform.read(LEASE_TABLE, nameFleetLease(this.#options.dataCentre))
      return false
    } catch {
      return true
    }
  }

  #recover (goal: PoolGoal, due: Array<ResourceOf<'Endpoint'>>, views: Map<EndpointName, EndpointView>): void {
    const room = Math.max(0, goal.spec.maxParallelLoads - this.#desk.inFlight)
    for (const endpoint of due.slice(0, room)) {
      const incarnation = views.get(endpoint.name)?.incarnation ?? ''
      this.#ports.log.info('Weights brought back without a lease.', { endpoint: endpoint.name, weightsVersion: goal.inForce.weightsVersion })
      this.#desk.send({ type: 'weights', endpoint: endpoint.name, incarnation, weights: goal.inForce }, endpoint.spec, () => RECOVERY_FENCING)
    }
  }
}

/** Live and without weights; or returned from a crash with weights nobody asked for, and nothing in flight. */
function hasLostWeights (goal: PoolGoal, view: EndpointView, isReturned: boolean): boolean {
  if (view.state !== 'live') return false
  if (view.weightsVersion === null) return true
  return isReturned && !isWished(goal, view) && view.load?.running === 0 && view.load.queued === 0
}
