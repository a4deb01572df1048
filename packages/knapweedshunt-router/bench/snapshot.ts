/** Measures what a router spends on one snapshot from control, by number of endpoints and VMs; writes docs/figures/routerSnapshot.json. */
import fs from 'node:fs'
import type { RouterSnapshot } from 'knapweedshunt-types'
import { DataPath, DEFAULT_ROUTER_OPTIONS } from 'knapweedshunt-router'
import type { RouterOrders } from '../src/orders/routerOrders.ts'
import { EndpointTable } from '../src/endpointTable.ts'
import { parseSnapshot } from '../src/snapshotSchema.ts'

const SIZES = [{ endpoints: 30, vms: 8 }, { endpoints: 460, vms: 27 }, { endpoints: 2_300, vms: 135 }, { endpoints: 6_900, vms: 400 }]
const ORGANISATIONS = 2_500
const POOLS = 4
const DATA_CENTRES = 15
const ROUNDS = 12
const RESULTS_FILE = 'docs/figures/routerSnapshot.json'

interface SnapshotCost {
  endpoints: number
  vms: number
  /** Time to validate a snapshot whose resources are already known, in milliseconds. */
  parseMs: number
  /** Time to build the endpoint table, in milliseconds. */
  tableMs: number
  /** Time to apply a complete snapshot without changes, in milliseconds. */
  wholeMs: number
}

function buildSnapshot (endpoints: number, vms: number): unknown {
  const names = Array.from({ length: endpoints }, (_, i) => `e${i}`)
  const resources = [
    ...Array.from({ length: ORGANISATIONS }, (_, i) => ({ kind: 'Organisation', name: `o${i}`, spec: { weight: 1 } })),
    ...Array.from({ length: POOLS }, (_, i) => ({ kind: 'EndpointPool', name: `p${i}`, spec: { type: 'model', model: `m${i}`, weightsVersion: 'w1', objective: 'tail' } })),
    ...names.map((name, i) => ({ kind: 'Endpoint', name, spec: { pool: `p${i % POOLS}`, url: `http://10.0.${i >> 8}.${i & 255}:80`, dataCentre: `dc-${i % DATA_CENTRES}`, cacheBlocks: 4_000 } }))
  ]
  const views = names.map(endpoint => {
    const common = { endpoint, incarnation: `i-${endpoint}`, weightsVersion: 'w1' }
    return { ...common, state: 'live', load: { ...common, running: 1, queued: 0, queuedTokens: 5, atMs: 1 }, loadAgeMs: 10 }
  })
  const vmViews = Array.from({ length: vms }, (_, i) => ({ vm: `vm-${i}`, incarnation: 'i', dataCentre: `dc-${i % DATA_CENTRES}`, controlUrl: '', routerUrl: 'http://127.0.0.1:9', state: 'live', appliedRevision: 1 }))
  return { resources: { revision: 1, resources }, vms: vmViews, endpoints: views }
}

function measureBestMs (operation: () => void): number {
  let best = Infinity
  for (let round = 0; round < ROUNDS; round++) {
    const startedAtMs = performance.now()
    operation()
    best = Math.min(best, performance.now() - startedAtMs)
  }
  return best
}

function measure (endpoints: number, vms: number): SnapshotCost {
  const noop = () => {}
  const log = { debug: noop, info: noop, warn: noop, error: noop }
  const path = new DataPath({ ...DEFAULT_ROUTER_OPTIONS, peerKey: 'bench' }, {} as RouterOrders, log)
  const snapshot = buildSnapshot(endpoints, vms)
  const parsed: RouterSnapshot = parseSnapshot(snapshot, null)
  path.applySnapshot(snapshot)
  const row = {
    endpoints,
    vms,
    parseMs: measureBestMs(() => parseSnapshot(snapshot, parsed)),
    tableMs: measureBestMs(() => new EndpointTable(parsed)),
    wholeMs: measureBestMs(() => path.applySnapshot(snapshot))
  }
  path.close()
  return row
}

const rows = SIZES.map(({ endpoints, vms }) => measure(endpoints, vms))
const [first, last] = [rows[1], rows.at(-1)!]
const microsecondsPerEndpoint = (last.wholeMs - first.wholeMs) * 1_000 / (last.endpoints - first.endpoints)
console.table(rows)
console.log(`${microsecondsPerEndpoint.toFixed(2)} us per endpoint`)
fs.writeFileSync(RESULTS_FILE, JSON.stringify({ rows, microsecondsPerEndpoint }, null, 2) + '\n')
process.exit(0)
