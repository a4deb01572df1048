import type { Logger } from 'knapweedshunt-logger'
import type { Platform } from 'knapweedshunt-platform'
import type { EndpointName, EndpointSpec, EndpointView, FencingToken, LoadReport, ResourceSnapshot, Revision } from 'knapweedshunt-types'
import type { EndpointCommand, CommandResult } from './endpointCommand.ts'
import type { PoolGoal } from './poolGoal.ts'

/** A lease as seen by the tasks that act under it. */
export interface Lease {
  /** Returns the fencing token while commands may be sent, else null. Must be read again after every await, as the lease may have expired meanwhile. */
  readFencing (checksFencing: boolean): FencingToken | null
  /** Contends for the lease until the signal aborts, then releases it. */
  run (signal: AbortSignal, isContender: () => boolean): Promise<void>
}

/** A command with what is needed to send it to an endpoint. */
export interface CommandRequest {
  command: EndpointCommand
  spec: EndpointSpec
  /** {@link RECOVERY_FENCING} for a command sent without a lease. */
  fencing: FencingToken
  timeoutMs: number
}

/** Fencing token of recovery commands, which need no lease. An endpoint that has accepted a command under a lease refuses it. */
export const RECOVERY_FENCING: FencingToken = 0

/** Operations that the fleet tasks require from the surrounding process. */
export interface FleetPorts {
  platform: Platform
  readResources (): ResourceSnapshot
  listViews (): EndpointView[]
  /** Queries an endpoint directly for its load report; null when it does not answer. Never throws. */
  readReport (endpoint: EndpointName, spec: EndpointSpec): Promise<LoadReport | null>
  /** Never throws. */
  sendCommand (call: CommandRequest): Promise<CommandResult>
  /** Writes a roll-out's weights into the pool resource if no resource has changed since `revision`. Returns the revision of that change, or null when it is not known to be accepted. */
  commitWeights (goal: PoolGoal, revision: Revision): Promise<Revision | null>
  /** Rank of this VM among the live VMs of its data centre, from 0. */
  readRank (): number
  log: Logger
}
