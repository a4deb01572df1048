import { LoggedRows } from 'knapweedshunt-platform'
import type { Row } from 'knapweedshunt-platform'
import type { EndpointName, EndpointView, LoadReport, PoolName, ResourceOf, Revision } from 'knapweedshunt-types'
import { runEvery } from 'knapweedshunt-utils'
import type { EndpointCommand } from './endpointCommand.ts'
import { EndpointTracker } from './endpointTracker.ts'
import type { FleetOptions } from './fleetOptions.ts'
import type { FleetPorts, Lease } from './fleetPorts.ts'
import { FLEET_LEASE_PREFIX, LEASE_TABLE } from './leaseState.ts'
import { hasGoalWeights } from './listServingWeights.ts'
import { CommandSender } from './commandSender.ts'
import { parseRolloutRow } from './parseRolloutRow.ts'
import { PeerLeaseTracker } from './peerLeaseTracker.ts'
import { planPool } from './planPool.ts'
import type { PlannedEndpoint, PoolInput } from './plannerTypes.ts'
import { applyCompletedRollout } from './poolGoal.ts'
import { PoolIndex } from './poolIndex.ts'
import type { LocalPool } from './poolIndex.ts'
import { EMPTY_ROLLOUT_ROW, buildRolloutKey, ROLLOUT_TABLE } from './rolloutState.ts'
import type { RolloutRow } from './rolloutState.ts'

const SCAN_LIMIT = 1_000

/** Reconciles one data centre's endpoints with the resources while this VM holds the data centre's lease. */
export class FleetTask {
  readonly #options: FleetOptions
  readonly #ports: FleetPorts
  readonly #lease: Lease
  readonly #commandSender: CommandSender
  readonly #endpointTracker = new EndpointTracker()
  readonly #poolIndex: PoolIndex
  readonly #peerLeases: PeerLeaseTracker
  /** Rows as last read, so that a reconciled pool needs no further reads; cleared when the lease is lost. */
  #lastRows = new Map<PoolName, RolloutRow>()
  readonly #loggedRows = new LoggedRows()

  constructor (options: FleetOptions, ports: FleetPorts, lease: Lease) {
    this.#options = options
    this.#ports = ports
    this.#lease = lease
    this.#commandSender = new CommandSender(ports, options.lease.maxCommandMs)
    this.#peerLeases = new PeerLeaseTracker(options.lease)
    this.#poolIndex = new PoolIndex(options.dataCentre)
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await runEvery(this.#options.planIntervalMs, signal, () => this.#reconcile())
  }

  async #reconcile (): Promise<void> {
    const snapshot = this.#ports.readResources()
    const views = this.#readViews()
    const pools = this.#poolIndex.listPools(snapshot)
    for (const { localEndpoints } of pools) this.#trackEndpoints(localEndpoints, views)
    if (this.#lease.readFencing(true) === null) {
      this.#lastRows.clear()
      this.#commandSender.clearConfirmed()
      return
    }
    const pending = pools.filter(localPool => this.#needsReconcile(localPool, views))
    if (pending.length === 0) return
    try {
      await this.#reconcilePools(pending.map(localPool => localPool.goal.pool))
    } catch (error) {
      this.#ports.log.warn('Reconciliation failed; retrying at the next step.', { reason: (error as Error).message })
    }
  }

  /** Views become stale, so they are read again after every await. */
  #readViews (): Map<EndpointName, EndpointView> {
    return new Map(this.#ports.listViews().map(view => [view.endpoint, view]))
  }

  #trackEndpoints (endpoints: Array<ResourceOf<'Endpoint'>>, views: Map<EndpointName, EndpointView>): void {
    for (const endpoint of endpoints) this.#endpointTracker.update(endpoint.name, views.get(endpoint.name) ?? null)
  }

  /** A pool needs no work when its row has been read and holds no slot, its roll-out is recorded as complete (or, for an undo, this data centre's progress is recorded), and every live endpoint serves with the goal's weights. */
  #needsReconcile ({ goal, localEndpoints }: LocalPool, views: Map<EndpointName, EndpointView>): boolean {
    const row = this.#lastRows.get(goal.pool)
    if (row === undefined || row.slots.length > 0) return true
    const resolved = applyCompletedRollout(goal, row.completedKey)
    if (resolved.rollout !== null && !resolved.rollout.undo) return true
    if (resolved.rollout !== null && row.dataCentres.find(entry => entry.dataCentre === this.#options.dataCentre)?.goalKey !== resolved.key) return true
    return localEndpoints.some(({ name }) => {
      const view = views.get(name)
      return view?.state === 'live' && (!hasGoalWeights(resolved, view) || view.load?.role === 'drain')
    })
  }

  async #reconcilePools (pools: PoolName[]): Promise<void> {
    const { platform } = this.#ports
    const leases = await platform.scan({ table: LEASE_TABLE, prefix: FLEET_LEASE_PREFIX, limit: SCAN_LIMIT })
    for (const pool of pools) await this.#reconcilePool(pool, leases)
  }

  async #reconcilePool (pool: PoolName, leases: Row[]): Promise<void> {
    const read = await this.#ports.platform.read(ROLLOUT_TABLE, buildRolloutKey(pool))
    const version = read?.version ?? 0
    const parsed = read === null ? null : parseRolloutRow(read)
    if (parsed?.type === 'unreadable') return this.#recordUnreadable(pool, version, parsed.reason)
    const row = parsed?.value ?? EMPTY_ROLLOUT_ROW
    const reports = await this.#readReports(row)
    const snapshot = this.#ports.readResources()
    const localPool = this.#poolIndex.listPools(snapshot).find(entry => entry.goal.pool === pool)
    if (localPool === undefined || snapshot.revision < row.revision) return
    this.#lastRows.set(pool, row)
    const input = this.#buildInput(localPool, row, leases, snapshot.revision, reports)
    const plan = planPool(input, this.#options.planner)
    this.#sendCommands(plan.commands, localPool.localEndpoints)
    if (plan.row !== null) await this.#writeRow(pool, version, plan.row)
    else if (plan.isComplete) await this.#completeRollout(input, version)
  }

  /** The row may hold slots of loads under way, so the pool waits until an operator has deleted it. */
  #recordUnreadable (pool: PoolName, version: number, reason: string): void {
    const key = buildRolloutKey(pool)
    if (!this.#loggedRows.tryAdd(ROLLOUT_TABLE, { key, version })) return
    this.#ports.log.error('State of roll-out cannot be read; the pool waits until the row is deleted.', { pool, table: ROLLOUT_TABLE, key, reason })
  }

  /** Queries endpoints in load slots directly, since views received through gossip are seconds old. */
  async #readReports (row: RolloutRow): Promise<Map<EndpointName, EndpointView>> {
    const endpoints = this.#ports.readResources().resources.filter(resource => resource.kind === 'Endpoint')
    const names = new Set(row.slots.filter(slot => slot.dataCentre === this.#options.dataCentre).map(slot => slot.endpoint))
    const queried = endpoints.filter(endpoint => names.has(endpoint.name))
    const queriedAtMs = performance.now()
    const loads = await Promise.all(queried.map(endpoint => this.#ports.readReport(endpoint.name, endpoint.spec)))
    return new Map(loads.filter(load => load !== null).map(load => [load.endpoint, buildView(load, queriedAtMs)]))
  }

  #sendCommands (commands: EndpointCommand[], endpoints: Array<ResourceOf<'Endpoint'>>): void {
    for (const command of commands) {
      const spec = endpoints.find(endpoint => endpoint.name === command.endpoint)?.spec
      if (spec) this.#commandSender.send(command, spec, checks => this.#lease.readFencing(checks))
    }
  }

  #buildInput ({ goal, localEndpoints, peerDataCentres }: LocalPool, row: RolloutRow, leases: Row[], revision: Revision, reports: Map<EndpointName, EndpointView>): PoolInput {
    const { dataCentre } = this.#options
    const views = this.#readViews()
    this.#trackEndpoints(localEndpoints.filter(endpoint => reports.has(endpoint.name)), reports)
    return {
      goal: applyCompletedRollout(goal, row.completedKey),
      dataCentre,
      endpoints: localEndpoints.map(endpoint => this.#buildEndpoint(endpoint, reports.get(endpoint.name) ?? null, views.get(endpoint.name) ?? null)),
      peers: this.#peerLeases.update(leases, peerDataCentres),
      row,
      revision
    }
  }

  /** Prefers the endpoint's own report to the view received through gossip. */
  #buildEndpoint ({ name, spec }: ResourceOf<'Endpoint'>, report: EndpointView | null, gossipView: EndpointView | null): PlannedEndpoint {
    const view = report ?? gossipView
    const lagMs = report === null ? this.#options.gossipLagMs : 0
    return {
      endpoint: name,
      draining: spec.draining,
      view,
      gossipView,
      isUnreachable: this.#endpointTracker.isUnreachable(name, view, this.#options.planner.deadSlotTimeoutMs),
      drainedForMs: this.#endpointTracker.readDrainedMs(name),
      hasPendingCommand: this.#commandSender.hasPendingCommand(name, view, lagMs),
      confirmedWeights: this.#commandSender.readConfirmed(name, view?.incarnation ?? '')
    }
  }

  /** A lost answer needs no handling, because the next step reads the row again. */
  async #writeRow (pool: PoolName, version: number, row: RolloutRow): Promise<void> {
    if (this.#lease.readFencing(true) === null) return
    const key = buildRolloutKey(pool)
    await this.#ports.platform.transact({
      checks: [{ table: ROLLOUT_TABLE, key, version }],
      writes: [{ type: 'put', table: ROLLOUT_TABLE, key, value: row }]
    })
  }

  async #completeRollout (input: PoolInput, version: number): Promise<void> {
    if (this.#lease.readFencing(true) === null) return
    const { goal, row } = input
    const revision = await this.#ports.commitWeights(goal, input.revision)
    if (revision === null) return
    this.#ports.log.info('Roll-out complete.', { pool: goal.pool, weightsVersion: goal.target.weightsVersion })
    await this.#writeRow(goal.pool, version, { ...row, completedKey: goal.key, revision: Math.max(revision, row.revision) })
  }
}

/** Builds a view from a report. Its age counts from when the query was sent, so the view is never older than stated. */
function buildView (load: LoadReport, queriedAtMs: number): EndpointView {
  const { endpoint, incarnation, weightsVersion } = load
  return { endpoint, incarnation, state: 'live', weightsVersion, load, loadAgeMs: performance.now() - queriedAtMs }
}
