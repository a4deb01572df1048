import { readFileSync } from 'node:fs'

/** Results of `bench:control` that the page uses. */
interface ControlMeasurements {
  slopes: { bytesPerEndpointOfCentre: number, bytesPerChangeADay: number, cpuSharePerEndpointOfCentre: number }
  memory: { replicaBytes: number }
  rows: Array<{ size: { vms: number, changesPerDay: number }, bytes: Record<string, number>, nearBytes: Record<string, number>, cpuUs: Record<string, number>, bytesPerSecond: number, maxNodeBytes: number, cpuShare: number, nodeHeapBytes: number, platformReadsPerSecond: number }>
}

/** Results of the admission half of `bench:cost` that the page uses, in microseconds and bytes. */
interface AdmissionCostMeasurements {
  byOrganisations: Array<{ microseconds: number, bytes: number }>
  machine: { microsecondsPerToken: number, bytes: number }
}

/** Results of the placement half of `bench:cost`. */
interface PlacementMeasurements {
  byAll: Array<{ endpoints: number, localEndpoints: number, warmUs: number, coldUs: number, heldBytes: number }>
}

/** Results of `bench:orders`. */
interface OrderMeasurements {
  storeWritesPerS: number
  rates: Array<{ ratePerS: number, grouped: { ordersPerWrite: number, addedP50Ms: number, addedP99Ms: number } }>
  cost: { durableOrderUs: number, unusedTicketBytes: number, ranTicketBytes: number }
}

/** Results of the benchmark of the fleet's planner. */
interface FleetMeasurements {
  atSize: { leaseReadsPerSecond: number, leaseWritesPerSecond: number, restCoreShare: number, plannerCoreShare: number }
}

/** Cost for a router to apply a snapshot, in milliseconds. */
interface SnapshotMeasurements {
  rows: Array<{ endpoints: number, wholeMs: number, tableMs: number }>
}

/** Resident memory of idle processes as measured by measureMemory.sh, in KiB; `bareKb` is an idle Node.js process. */
interface MemoryMeasurements {
  bareKb: number
  routerKb: number
  controlKb: number
  adminKb: number
}

/** Results of `bench:stream-rows`. */
interface StreamRowMeasurements {
  rows: Array<{ vms: number, streamsPerS: number, writers: number, writesPerS: number, writtenBytesPerS: number, maxRowBytes: number, rows: number, meanDelayMs: number }>
}

/** Inputs of docs/CAPACITY.md. */
export interface CapacityMeasurements {
  control: ControlMeasurements
  cost: AdmissionCostMeasurements
  placement: PlacementMeasurements
  orders: OrderMeasurements
  fleet: FleetMeasurements
  snapshot: SnapshotMeasurements
  memory: MemoryMeasurements
  streamRows: StreamRowMeasurements
}

/** Reads the results that the benchmarks wrote to docs/figures. */
export function readCapacityMeasurements (): CapacityMeasurements {
  return {
    control: readMeasurements('control'),
    cost: readMeasurements('admissionCost'),
    placement: readMeasurements('placementCost'),
    orders: readMeasurements('orders'),
    fleet: readMeasurements('fleet'),
    snapshot: readMeasurements('routerSnapshot'),
    memory: readMeasurements('memory'),
    streamRows: readMeasurements('streamRows')
  }
}

function readMeasurements<T> (name: string): T {
  return JSON.parse(readFileSync(new URL(`../docs/figures/${name}.json`, import.meta.url), 'utf8')) as T
}
