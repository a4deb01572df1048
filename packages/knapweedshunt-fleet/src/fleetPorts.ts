import type { Logger } from 'knapweedshunt-logger'
import type { Platform } from 'knapweedshunt-platform'
import type { EndpointName, EndpointSpec, EndpointView, FencingNumber, LoadReport, ResourceSnapshot, Revision } from 'knapweedshunt-types'
import type { EndpointOrder, OrderResult } from './endpointOrder.ts'
import type { PoolGoal } from './poolGoal.ts'

/** A lease as those who act under it see it. */
export interface Lease {
  /** Fencing number while orders may be sent, else null. Ask again after every wait. */
  readFencing (checksFencing: boolean): FencingNumber | null
  /** Contends until the signal aborts, then releases. */
  run (signal: AbortSignal, isContender: () => boolean): Promise<void>
}

/** An order on its way to an endpoint. */
export interface OrderCall {
  order: EndpointOrder
  spec: EndpointSpec
  /** {@link RECOVERY_FENCING} for an order given without a lease. */
  fencing: FencingNumber
  timeoutMs: number
}

/** Fencing number of the one order that needs no lease; an endpoint that took any order refuses it. */
export const RECOVERY_FENCING: FencingNumber = 0

/** What the fleet needs of its program. */
export interface FleetPorts {
  platform: Platform
  readResources (): ResourceSnapshot
  listViews (): EndpointView[]
  /** Asks an endpoint itself for its report; null when none came. Never throws. */
  readReport (endpoint: EndpointName, spec: EndpointSpec): Promise<LoadReport | null>
  /** Never throws. */
  sendOrder (call: OrderCall): Promise<OrderResult>
  /** Makes a roll-out's weights the pool's own if no resource changed since the revision. Returns the revision that did, null when it is not settled. */
  commitWeights (goal: PoolGoal, revision: Revision): Promise<Revision | null>
  /** Place of this VM among the live ones of its data centre, 0 first. */
  readRank (): number
  log: Logger
}
