import { mkdirSync, writeFileSync } from 'node:fs'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import type { EndpointView, Resource } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import { DEFAULT_FLEET_OPTIONS, DEFAULT_LEASE_OPTIONS, DEFAULT_PLANNER_OPTIONS, FleetTask, LeaseTask, listPoolGoals, buildFleetLeaseKey, planPool, RecoveryTask } from '../src/index.ts'
import type { FleetPorts, Lease, PlannedEndpoint, PoolInput, RolloutRow } from '../src/index.ts'

/** Measures the planner by number of endpoints, the fleet tasks without work, and the reads and writes of the lease; writes docs/figures/fleet.json. */

const DATA_CENTRES = 15
const POOLS = 4
const SIZES = [10, 50, 115, 460]
const ROUNDS = 200
const LEASE_SECONDS = 60
const ENDPOINTS_PER_DATA_CENTRE = 460
const IDLE_PLAN_INTERVAL_MS = 10
const IDLE_SECONDS = 5
const CONTENDERS = 3

interface PlannerCost {
  endpoints: number
  /** CPU time of one plan for one pool in the middle of a roll-out, in microseconds. */
  planUs: number
  /** Size of the pool's row as JSON, in bytes; the row holds only ASCII characters. */
  rowBytes: number
}

function buildPool (floor: number): Resource[] {
  return [
    { kind: 'EndpointPool', name: 'p', revision: 1, spec: { type: 'model', model: 'm', weightsVersion: 'w1', objective: 'tail', floor, maxParallelLoads: 3 } },
    { kind: 'WeightsRollout', name: 'r', revision: 2, spec: { pool: 'p', weightsVersion: 'w2', paused: false, undo: false } }
  ]
}

function buildEndpoint (n: number, count: number): PlannedEndpoint {
  const endpoint = `endpoint-${n}`
  const weightsVersion = n < count / 2 ? 'w2' : 'w1'
  const load = { endpoint, incarnation: `i${n}`, weightsVersion, role: 'serve' as const, running: 3, queued: 0, queuedTokens: 0, atMs: 0 }
  const view: EndpointView = { endpoint, incarnation: `i${n}`, state: 'live', weightsVersion, load, loadAgeMs: 100 }
  return { endpoint, draining: false, view, gossipView: view, isUnreachable: false, drainedForMs: 0, hasPendingCommand: false, confirmedWeights: null }
}

function buildInput (count: number): PoolInput {
  const goal = listPoolGoals(buildPool(Math.ceil(count * 0.9)))[0]
  const peers = Array.from({ length: DATA_CENTRES - 1 }, (_, n) => ({ dataCentre: `dc-${n + 2}`, lease: 'fresh' as const }))
  const entries = peers.map(peer => ({ dataCentre: peer.dataCentre, goalKey: goal.key, total: count, moved: count / 2, inService: count }))
  const row: RolloutRow = { slots: [], failures: { goalKey: goal.key, inRow: 0 }, dataCentres: entries, completedKey: '', revision: 2 }
  return { goal, dataCentre: 'dc-1', endpoints: Array.from({ length: count }, (_, n) => buildEndpoint(n, count)), peers, row, revision: 2 }
}

function measurePlan (endpoints: number): PlannerCost {
  const input = buildInput(endpoints)
  for (let n = 0; n < ROUNDS; n++) planPool(input, DEFAULT_PLANNER_OPTIONS)
  const before = process.cpuUsage()
  for (let n = 0; n < ROUNDS; n++) planPool(input, DEFAULT_PLANNER_OPTIONS)
  const used = process.cpuUsage(before)
  const { row } = planPool(input, DEFAULT_PLANNER_OPTIONS)
  return { endpoints, planUs: Math.round((used.user + used.system) / ROUNDS), rowBytes: JSON.stringify(row).length }
}

async function measureLease () {
  const platform = new MemoryPlatform()
  const stopping = new AbortController()
  const tasks = Array.from({ length: CONTENDERS }, (_, n) => new LeaseTask(platform, buildFleetLeaseKey('dc-1'), `vm-${n}`, DEFAULT_LEASE_OPTIONS).run(stopping.signal, () => true))
  await sleep(LEASE_SECONDS * 1_000)
  const { reads, writes } = platform.counts
  stopping.abort()
  await Promise.all(tasks)
  return { contenders: CONTENDERS, seconds: LEASE_SECONDS, readsPerSecond: reads / LEASE_SECONDS, writesPerSecond: writes / LEASE_SECONDS }
}

/** Measures the CPU time of the fleet tasks on a VM that does not hold the lease and has no work, at the design size. */
async function measureIdleTasks () {
  const endpoints = Array.from({ length: DATA_CENTRES * ENDPOINTS_PER_DATA_CENTRE }, (_, n): Resource => ({
    kind: 'Endpoint',
    name: `endpoint-${n}`,
    revision: 3,
    spec: { pool: `p${n % POOLS}`, url: '', dataCentre: `dc-${Math.floor(n / ENDPOINTS_PER_DATA_CENTRE) + 1}`, weight: 1, cacheBlocks: 1, checksFencing: true, checksIdempotencyKeys: false, draining: false }
  }))
  const pools = Array.from({ length: POOLS }, (_, n): Resource => ({ ...buildPool(1)[0], name: `p${n}` } as Resource))
  const snapshot = { revision: 3, resources: [...pools, ...endpoints] }
  const views = endpoints.slice(0, ENDPOINTS_PER_DATA_CENTRE).map((endpoint, n) => ({ ...buildEndpoint(n, 0).view as EndpointView, endpoint: endpoint.name }))
  const ports: FleetPorts = {
    platform: new MemoryPlatform(),
    readResources: () => snapshot,
    listViews: () => views,
    readReport: async () => null,
    sendCommand: async () => 'taken',
    commitWeights: async () => null,
    readRank: () => CONTENDERS,
    log: { debug () {}, info () {}, warn () {}, error () {} }
  }
  const options = { ...DEFAULT_FLEET_OPTIONS, planIntervalMs: IDLE_PLAN_INTERVAL_MS }
  const lease: Lease = { readFencing: () => null, run: async () => {} }
  const stopping = new AbortController()
  const tasks = [new FleetTask(options, ports, lease).run(stopping.signal), new RecoveryTask(options, ports).run(stopping.signal)]
  await sleep(1_000)
  const before = process.cpuUsage()
  let steps = 0
  const listViews = ports.listViews
  ports.listViews = () => {
    steps++
    return listViews()
  }
  await sleep(IDLE_SECONDS * 1_000)
  const used = process.cpuUsage(before)
  stopping.abort()
  await Promise.all(tasks)
  return { endpoints: endpoints.length, stepUs: Math.round((used.user + used.system) / steps) }
}

const lease = await measureLease()
const rest = await measureIdleTasks()
const planner = SIZES.map(measurePlan)
const largest = planner[planner.length - 1]
const atSize = {
  dataCentres: DATA_CENTRES,
  pools: POOLS,
  leaseReadsPerSecond: lease.readsPerSecond * DATA_CENTRES,
  leaseWritesPerSecond: lease.writesPerSecond * DATA_CENTRES,
  /** Share of one core, on every VM, for two tasks with two steps per second each. */
  restCoreShare: rest.stepUs * 4 / 1_000_000,
  /** Share of one core, on the lease holder, for two plans per second of one pool with 460 endpoints in the data centre. */
  plannerCoreShare: largest.planUs * 2 / 1_000_000
}
const results = { planner, rest, lease, atSize }
mkdirSync('docs/figures', { recursive: true })
writeFileSync('docs/figures/fleet.json', `${JSON.stringify(results, null, 2)}\n`)
process.stdout.write(`${JSON.stringify(results, null, 2)}\n`)
