import { readFileSync } from 'node:fs'

/** Figures of `bench:control` that the page uses. */
interface ControlFigures {
  slopes: { bytesPerEndpointOfCentre: number, bytesPerChangeADay: number, cpuSharePerEndpointOfCentre: number }
  memory: { replicaBytes: number }
  rows: Array<{ size: { vms: number, changesPerDay: number }, bytes: Record<string, number>, nearBytes: Record<string, number>, cpuUs: Record<string, number>, bytesPerSecond: number, maxNodeBytes: number, cpuShare: number, nodeHeapBytes: number, platformReadsPerSecond: number }>
}

/** Figures of `bench:cost` that the page uses, in microseconds and bytes. */
interface CostFigures {
  byOrganisations: Array<{ microseconds: number, bytes: number }>
  machine: { microsecondsPerToken: number, bytes: number }
}

/** Figures of the placement half of `bench:cost`. */
interface PlacementFigures {
  byAll: Array<{ endpoints: number, localEndpoints: number, warmUs: number, coldUs: number, heldBytes: number }>
}

/** Figures of `bench:orders`. */
interface OrderFigures {
  storeWritesPerS: number
  rates: Array<{ ratePerS: number, grouped: { ordersPerWrite: number, addedP50Ms: number, addedP99Ms: number } }>
  cost: { durableOrderUs: number, unusedTicketBytes: number, ranTicketBytes: number }
}

/** Figures of the fleet's planner bench. */
interface FleetFigures {
  atSize: { leaseReadsPerSecond: number, leaseWritesPerSecond: number, restCoreShare: number, plannerCoreShare: number }
}

/** Cost of a snapshot to a router. */
interface SnapshotFigures {
  rows: Array<{ endpoints: number, wholeMs: number, tableMs: number }>
}

/** Resident memory at rest, in KiB. */
interface MemoryFigures {
  bareKb: number
  routerKb: number
  controlKb: number
  adminKb: number
}

/** All figures of the page. */
export interface CapacityFigures {
  control: ControlFigures
  cost: CostFigures
  placement: PlacementFigures
  orders: OrderFigures
  fleet: FleetFigures
  snapshot: SnapshotFigures
  memory: MemoryFigures
}

/** Reads what the bench commands wrote. */
export function readCapacityFigures (): CapacityFigures {
  return {
    control: readFigures('control'),
    cost: readFigures('admissionCost'),
    placement: readFigures('placementCost'),
    orders: readFigures('orders'),
    fleet: readFigures('fleet'),
    snapshot: readFigures('routerSnapshot'),
    memory: readFigures('memory')
  }
}

function readFigures<T> (name: string): T {
  return JSON.parse(readFileSync(new URL(`../docs/figures/${name}.json`, import.meta.url), 'utf8')) as T
}
