import { DEFAULT_FLEET_OPTIONS, FleetTask, LeaseTask, buildFleetLeaseKey, RecoveryTask } from 'knapweedshunt-fleet'
import type { FleetOptions, FleetPorts } from 'knapweedshunt-fleet'
import type { Logger } from 'knapweedshunt-logger'
import type { Platform } from 'knapweedshunt-platform'
import type { ResourceStore } from 'knapweedshunt-resources'
import type { EndpointView, ResourceSnapshot, VmView } from 'knapweedshunt-types'
import { commitWeights } from './commitWeights.ts'
import { readReport } from './readReport.ts'
import { computeRank } from './computeRank.ts'
import { sendCommand } from './sendCommand.ts'

/** State and services of the control process that the fleet tasks use. */
export interface FleetContext {
  /** Identity of this VM; its incarnation is the lease holder's name. */
  self: Pick<VmView, 'vm' | 'incarnation' | 'dataCentre'>
  platform: Platform
  store: ResourceStore
  readResources (): ResourceSnapshot
  listViews (): EndpointView[]
  listVms (): VmView[]
  log: Logger
  signal: AbortSignal
  /** Overrides of {@link DEFAULT_FLEET_OPTIONS}. */
  options?: Partial<FleetOptions>
}

/** Runs the lease, fleet and recovery tasks of this VM's data centre; resolves when all have ended after the signal's abort. */
export async function startFleetTasks (context: FleetContext): Promise<void> {
  const { self, platform, store, log, signal } = context
  const options: FleetOptions = { ...DEFAULT_FLEET_OPTIONS, ...context.options, dataCentre: self.dataCentre }
  const ports: FleetPorts = {
    platform,
    readResources: () => context.readResources(),
    listViews: () => context.listViews(),
    readReport,
    sendCommand,
    commitWeights: (goal, revision) => commitWeights(store, context.readResources(), goal, revision, log),
    readRank: () => computeRank(self, context.listVms()),
    log
  }
  const lease = new LeaseTask(platform, buildFleetLeaseKey(self.dataCentre), self.incarnation, options.lease, log)
  await Promise.all([
    lease.run(signal, () => ports.readRank() < options.maxContenders),
    new FleetTask(options, ports, lease).run(signal),
    new RecoveryTask(options, ports).run(signal)
  ])
}
