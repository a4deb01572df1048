import type { Row } from 'knapweedshunt-platform'
import type { EndpointName, EndpointView, LoadReport, PoolName, ResourceOf, Revision } from 'knapweedshunt-types'
import { runEvery } from 'knapweedshunt-utils'
import type { EndpointOrder } from './endpointOrder.ts'
import { EndpointWatch } from './endpointWatch.ts'
import type { FleetOptions } from './fleetOptions.ts'
import type { FleetPorts, Lease } from './fleetPorts.ts'
import { FLEET_LEASE_PREFIX, LEASE_TABLE } from './leaseState.ts'
import { isWished } from './listServingWeights.ts'
import { OrderDesk } from './orderDesk.ts'
import { PeerLeases } from './peerLeases.ts'
import { planPool } from './planPool.ts'
import type { PlannedEndpoint, PoolInput } from './plannerTypes.ts'
import { settleGoal } from './poolGoal.ts'
import { PoolIndex } from './poolIndex.ts'
import type { PoolStep } from './poolIndex.ts'
import { EMPTY_ROLLOUT_ROW, nameRollout, ROLLOUT_TABLE } from './rolloutState.ts'
import type { RolloutRow } from './rolloutState.ts'

const SCAN_LIMIT = 1_000

/** Brings one data centre's endpoints to what the resources ask, while this VM holds the data centre's lease. */
export class FleetTask {
  readonly #options: FleetOptions
  readonly #ports: FleetPorts
  readonly #lease: Lease
  readonly #desk: OrderDesk
  readonly #watch = new EndpointWatch()
  readonly #index: PoolIndex
  readonly #peers: PeerLeases
  /** Rows of the last read, so that a pool at rest costs no read; empty after the lease was lost. */
  #lastRows = new Map<PoolName, RolloutRow>()

  constructor (options: FleetOptions, ports: FleetPorts, lease: Lease) {
    this.#options = options
    this.#ports = ports
    this.#lease = lease
    this.#desk = new OrderDesk(ports, options.lease.longestOrderMs)
    this.#peers = new PeerLeases(options.lease)
    this.#index = new PoolIndex(options.dataCentre)
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await runEvery(this.#options.stepMs, signal, () => this.#step())
  }

  async #step (): Promise<void> {
    const snapshot = this.#ports.readResources()
    const views = this.#readViews()
    const steps = this.#index.listSteps(snapshot)
    for (const { own } of steps) this.#watchEndpoints(own, views)
    if (this.#lease.readFencing(true) === null) {
      this.#lastRows.clear()
      this.#desk.clearConfirmed()
      return
    }
    const busy = steps.filter(step => this.#needsWork(step, views))
    if (busy.length === 0) return
    try {
      await this.#runPools(busy.map(step => step.goal.pool))
    } catch (error) {
      this.#ports.log.warn('Plan not made.', { reason: (error as Error).message })
    }
  }

  /** Views age: they are read anew after every wait. */
  #readViews (): Map<EndpointName, EndpointView> {
    return new Map(this.#ports.listViews().map(view => [view.endpoint, view]))
  }

  #watchEndpoints (endpoints: Array<ResourceOf<'Endpoint'>>, views: Map<EndpointName, EndpointView>): void {
    for (const endpoint of endpoints) this.#watch.take(endpoint.name, views.get(endpoint.name) ?? null)
  }

  /** A pool is at rest when its row was read, holds no slot, its roll-out is recorded as complete, and every endpoint serves with the pool's weights. */
  #needsWork ({ goal, own }: PoolStep, views: Map<EndpointName, EndpointView>): boolean {
    const row = this.#lastRows.get(goal.pool)
    if (row === undefined || row.slots.length > 0) return true
    const settled = settleGoal(goal, row.completedKey)
    if (settled.rollout !== null && !settled.rollout.undo) return true
    if (settled.rollout !== null && row.dataCentres.find(entry => entry.dataCentre === this.#options.dataCentre)?.goalKey !== settled.key) return true
    return own.some(({ name }) => {
      const view = views.get(name)
      return view?.state === 'live' && (!isWished(settled, view) || view.load?.role === 'drain')
    })
  }

  async #runPools (pools: PoolName[]): Promise<void> {
    const { platform } = this.#ports
    const leases = await platform.scan({ table: LEASE_TABLE, prefix: FLEET_LEASE_PREFIX, limit: SCAN_LIMIT })
    for (const pool of pools) await this.#runPool(pool, leases)
  }

  async #runPool (pool: PoolName, leases: Row[]): Promise<void> {
    const read = await this.#ports.platform.read(ROLLOUT_TABLE, nameRollout(pool))
    const version = read?.version ?? 0
    const row = read === null ? EMPTY_ROLLOUT_ROW : read.value as RolloutRow
    const reports = await this.#readReports(row)
    const snapshot = this.#ports.readResources()
    const step = this.#index.listSteps(snapshot).find(entry => entry.goal.pool === pool)
    if (step === undefined || snapshot.revision < row.revision) return
    this.#lastRows.set(pool, row)
    const input = this.#buildInput(step, row, leases, snapshot.revision, reports)
    const plan = planPool(input, this.#options.planner)
    this.#sendOrders(plan.orders, step.own)
    if (plan.row !== null) await this.#writeRow(pool, version, plan.row)
    else if (plan.isComplete) await this.#complete(input, version)
  }

  /** Endpoints in slots are asked themselves: what others tell of them is seconds old. */
  async #readReports (row: RolloutRow): Promise<Map<EndpointName, EndpointView>> {
    const endpoints = this.#ports.readResources().resources.filter(resource => resource.kind === 'Endpoint')
    const names = new Set(row.slots.filter(slot => slot.dataCentre === this.#options.dataCentre).map(slot => slot.endpoint))
    const asked = endpoints.filter(endpoint => names.has(endpoint.name))
    const askedAtMs = performance.now()
    const loads = await Promise.all(asked.map(endpoint => this.#ports.readReport(endpoint.name, endpoint.spec)))
    return new Map(loads.filter(load => load !== null).map(load => [load.endpoint, buildView(load, askedAtMs)]))
  }

  #sendOrders (orders: EndpointOrder[], endpoints: Array<ResourceOf<'Endpoint'>>): void {
    for (const order of orders) {
      const spec = endpoints.find(endpoint => endpoint.name === order.endpoint)?.spec
      if (spec) this.#desk.send(order, spec, checks => this.#lease.readFencing(checks))
    }
  }

  #buildInput ({ goal, own, others }: PoolStep, row: RolloutRow, leases: Row[], revision: Revision, reports: Map<EndpointName, EndpointView>): PoolInput {
    const { dataCentre } = this.#options
    const views = this.#readViews()
    this.#watchEndpoints(own.filter(endpoint => reports.has(endpoint.name)), reports)
    return {
      goal: settleGoal(goal, row.completedKey),
      dataCentre,
      endpoints: own.map(endpoint => this.#buildEndpoint(endpoint, reports.get(endpoint.name) ?? null, views.get(endpoint.name) ?? null)),
      peers: this.#peers.take(leases, others),
      row,
      revision
    }
  }

  /** An endpoint's own report goes before what others tell of it. */
  #buildEndpoint ({ name, spec }: ResourceOf<'Endpoint'>, report: EndpointView | null, told: EndpointView | null): PlannedEndpoint {
    const view = report ?? told
    const lagMs = report === null ? this.#options.reportLagMs : 0
    return {
      endpoint: name,
      draining: spec.draining,
      view,
      told,
      isGone: this.#watch.isGone(name, view, this.#options.planner.slotSilenceMs),
      drainedForMs: this.#watch.readDrainedMs(name),
      isBusy: this.#desk.isBusy(name, view, lagMs),
      confirmed: this.#desk.readConfirmed(name, view?.incarnation ?? '')
    }
  }

  /** A lost answer needs no care: the next step reads the row again. */
  async #writeRow (pool: PoolName, version: number, row: RolloutRow): Promise<void> {
    if (this.#lease.readFencing(true) === null) return
    const key = nameRollout(pool)
    await this.#ports.platform.transact({
      checks: [{ table: ROLLOUT_TABLE, key, version }],
      writes: [{ type: 'put', table: ROLLOUT_TABLE, key, value: row }]
    })
  }

  async #complete (input: PoolInput, version: number): Promise<void> {
    if (this.#lease.readFencing(true) === null) return
    const { goal, row } = input
    const revision = await this.#ports.commitWeights(goal, input.revision)
    if (revision === null) return
    this.#ports.log.info('Roll-out complete.', { pool: goal.pool, weightsVersion: goal.target.weightsVersion })
    await this.#writeRow(goal.pool, version, { ...row, completedKey: goal.key, revision: Math.max(revision, row.revision) })
  }
}

/** The view that a report asked for at a time gives; it can be no older than that. */
function buildView (load: LoadReport, askedAtMs: number): EndpointView {
  const { endpoint, incarnation, weightsVersion } = load
  return { endpoint, incarnation, state: 'live', weightsVersion, load, loadAgeMs: performance.now() - askedAtMs }
}
