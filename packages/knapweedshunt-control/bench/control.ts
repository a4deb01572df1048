import { mkdirSync, writeFileSync } from 'node:fs'
import { ResourceReplica } from 'knapweedshunt-resources'
import { buildResources, MECHANISMS, runCluster } from './benchCluster.ts'
import type { ClusterFigures, ClusterSize, Mechanism } from './benchCluster.ts'
import { measureHttp } from './measureHttp.ts'
import type { HttpCosts } from './measureHttp.ts'

/** Measures control's processor time, memory and bytes a node against the size of a deployment. */

const BUDGET = { cpuShare: 0.016, memoryBytes: 32 * 1024 * 1024, bytesPerSecond: 9_000, platformReadsPerSecond: 2_000 }
const TARGET: ClusterSize = { vms: 400, dataCentres: 15, endpointsPerCentre: 460, organisations: 2_500, changesPerDay: 6_600 }
const SIZES: ClusterSize[] = [
  { vms: 8, dataCentres: 3, endpointsPerCentre: 6, organisations: 8, changesPerDay: 200 },
  { ...TARGET, vms: 30, dataCentres: 3 },
  { ...TARGET, vms: 100, dataCentres: 15 },
  { ...TARGET, vms: 200, dataCentres: 15 },
  { ...TARGET, endpointsPerCentre: 115 },
  { ...TARGET, organisations: 500 },
  { ...TARGET, changesPerDay: 50_000 },
  TARGET
]
const HTTP_CALLS: Mechanism[] = ['near', 'far', 'push', 'router']

const http = await measureHttp()
const rows = SIZES.map(size => describeRow(runCluster(size, http), http))
console.table(rows.map(({ size, ...row }) => ({ ...size, cpu: row.cpuShare.toFixed(4), bytes: Math.round(row.bytesPerSecond), maxNode: Math.round(row.maxNodeBytes), reads: row.platformReadsPerSecond.toFixed(1) })))
const last = rows.at(-1)!
console.table(MECHANISMS.map(name => ({ mechanism: name, bytes: Math.round(last.bytes[name]), decisionUs: Math.round(last.cpuUs[name]), calls: last.calls[name].toFixed(2) })))
console.table([last.nearBytes])
const memory = measureMemory()
console.log({ http, memory, budget: BUDGET })
const slopes = {
  bytesPerVm: findSlope('vms', 2, 7, 'bytesPerSecond'),
  cpuSharePerVm: findSlope('vms', 2, 7, 'cpuShare'),
  bytesPerEndpointOfCentre: findSlope('endpointsPerCentre', 4, 7, 'bytesPerSecond'),
  cpuSharePerEndpointOfCentre: findSlope('endpointsPerCentre', 4, 7, 'cpuShare'),
  bytesPerOrganisation: findSlope('organisations', 5, 7, 'bytesPerSecond'),
  bytesPerChangeADay: findSlope('changesPerDay', 7, 6, 'bytesPerSecond'),
  cpuSharePerChangeADay: findSlope('changesPerDay', 7, 6, 'cpuShare'),
  platformReadsPerVm: findSlope('vms', 2, 7, 'platformReadsPerSecond')
}
console.log(slopes)
mkdirSync('docs/figures', { recursive: true })
writeFileSync('docs/figures/control.json', JSON.stringify({ budget: BUDGET, http, memory, slopes, rows }, null, 2) + '\n')

function describeRow (figures: ClusterFigures, costs: HttpCosts) {
  const { router: _, ...sent } = figures.bytes
  const bytesPerSecond = Object.values(sent).reduce((sum, bytes) => sum + bytes, 0)
  const decisionUs = Object.values(figures.cpuUs).reduce((sum, us) => sum + us, 0)
  const httpUs = HTTP_CALLS.reduce((sum, name) => sum + figures.calls[name] * costs.rpcUs, 0) + (figures.calls.loads + figures.calls.platform) * costs.loadUs
  return { ...figures, bytesPerSecond, decisionUs, httpUs, cpuShare: (decisionUs + httpUs) / 1e6 }
}

function findSlope (field: keyof ClusterSize, from: number, to: number, value: 'bytesPerSecond' | 'cpuShare' | 'platformReadsPerSecond'): number {
  return (rows[to][value] - rows[from][value]) / (rows[to].size[field] - rows[from].size[field])
}

/** Heap of one replica at the target size, and of the resources' text in transit. */
function measureMemory () {
  const text = JSON.stringify({ revision: 1, resources: buildResources(TARGET) })
  global.gc?.()
  const before = process.memoryUsage().heapUsed
  const replica = new ResourceReplica()
  replica.takeSnapshot(JSON.parse(text))
  global.gc?.()
  const replicaBytes = process.memoryUsage().heapUsed - before
  return { replicaBytes, snapshotTextBytes: text.length, resources: replica.snapshot.resources.length }
}
