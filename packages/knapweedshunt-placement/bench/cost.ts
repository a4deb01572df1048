import { mkdirSync, writeFileSync } from 'node:fs'
import type { PrefixLevel, Resource, RouterSnapshot } from 'knapweedshunt-types'
import { createRng, hashText } from 'knapweedshunt-utils'
import { Placement } from '../src/index.ts'

const OUTPUT_URL = new URL('../../../docs/figures/', import.meta.url)
const POOL = 'pool'
const DATA_CENTRES = 15
const CALLS = 20_000
const ROUNDS = 5
const TARGET_US = 50
const REFERENCE_LOCAL_ENDPOINTS = 460

interface Cost {
  endpoints: number
  localEndpoints: number
  organisations: number
  hotKeys: number
  /** Microseconds per decision for keys that are already in the key table. */
  warmUs: number
  /** Microseconds per decision for new keys, including their ranking. */
  coldUs: number
  /** Microseconds per attempt for its start and end events. */
  eventsUs: number
  /** Heap bytes allocated per warm decision with its events. */
  allocatedBytes: number
  /** Heap bytes in use after all calls minus those before. */
  heldBytes: number
  /** Microseconds to apply a snapshot without a change of resources. */
  snapshotUs: number
}

/** Measures one configuration; `local` of the endpoints are in the router's data centre. */
function measureSize (endpoints: number, local: number, organisations: number, hotKeys: number): Cost {
  const before = measureHeapBytes()
  const placement = new Placement('dc-0')
  const snapshot = buildSnapshot(endpoints, local)
  placement.handleEvent({ type: 'snapshot', snapshot })
  const hot = Array.from({ length: hotKeys }, (_, i) => buildLevels(`org-${i % organisations}`, `section-${i}`))
  const cold = Array.from({ length: 4_000 }, (_, i) => buildLevels(`new-${i}`, `section-${i}`))
  const rng = createRng(1)
  const warm = () => hot[rng.drawInt(hot.length)]
  for (let i = 0; i < CALLS; i++) placeOne(placement, warm())
  const warmUs = measureMicroseconds(CALLS, () => placeOne(placement, warm()))
  let n = 0
  const eventsUs = measureMicroseconds(CALLS, () => runAttempt(placement, n++, warm())) - warmUs
  const allocatedBytes = measureAllocatedBytes(() => runAttempt(placement, n++, warm()))
  const heldBytes = measureHeapBytes() - before
  let c = 0
  const coldUs = measureMicroseconds(cold.length / ROUNDS, () => placeOne(placement, cold[c++ % cold.length]))
  const snapshotUs = measureMicroseconds(50, () => placement.handleEvent({ type: 'snapshot', snapshot }))
  return { endpoints, localEndpoints: local, organisations, hotKeys, warmUs, coldUs, eventsUs, allocatedBytes, heldBytes, snapshotUs }
}

function placeOne (placement: Placement, levels: PrefixLevel[]) {
  return placement.place({ pool: POOL, levels, excluded: [] })
}

function runAttempt (placement: Placement, n: number, levels: PrefixLevel[]): void {
  const decision = placeOne(placement, levels)
  if (decision.type === 'unplaceable') return
  const attempt = `attempt-${n}`
  placement.handleEvent({ type: 'started', attempt, endpoint: decision.endpoint, tokens: 1_000, levels, decision })
  placement.handleEvent({ type: 'finished', attempt, cachedTokens: 900 })
}

/** Measures the mean time per call, in microseconds; returns the lowest of several rounds. */
function measureMicroseconds (calls: number, run: () => void): number {
  let lowestMeanUs = Infinity
  for (let round = 0; round < ROUNDS; round++) {
    const start = process.hrtime.bigint()
    for (let i = 0; i < calls; i++) run()
    lowestMeanUs = Math.min(lowestMeanUs, Number(process.hrtime.bigint() - start) / 1_000 / calls)
  }
  return lowestMeanUs
}

function measureHeapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

/** Measures heap growth per call. Makes so few calls that no garbage collection should occur in between. */
function measureAllocatedBytes (run: () => void): number {
  const calls = 500
  const before = measureHeapBytes()
  for (let i = 0; i < calls; i++) run()
  return (process.memoryUsage().heapUsed - before) / calls
}

function buildLevels (organisation: string, section: string): PrefixLevel[] {
  const rules = hashText(organisation)
  const inner = hashText(rules, section)
  return [{ key: rules, tokens: 6_000 }, { key: inner, tokens: 7_200 }, { key: hashText(inner, 'case'), tokens: 7_500 }]
}

function buildSnapshot (endpoints: number, local: number): RouterSnapshot {
  const names = Array.from({ length: endpoints }, (_, i) => ({ name: `engine-${i}`, dataCentre: i < local ? 'dc-0' : `dc-${1 + i % (DATA_CENTRES - 1)}` }))
  const resources: Resource[] = [
    { kind: 'EndpointPool', name: POOL, revision: 1, spec: { type: 'model', model: 'model', weightsVersion: 'w1', objective: 'tail', floor: 1, maxParallelLoads: 1 } },
    ...names.map(({ name, dataCentre }): Resource => ({
      kind: 'Endpoint',
      name,
      revision: 1,
      spec: { pool: POOL, url: 'http://127.0.0.1:1', dataCentre, weight: 1, cacheBlocks: 4_000, checksFencing: true, checksIdempotencyKeys: false, draining: false }
    }))
  ]
  const views = names.slice(0, local).map(({ name }) => ({
    endpoint: name,
    incarnation: 'one',
    state: 'live' as const,
    weightsVersion: 'w1',
    load: { endpoint: name, incarnation: 'one', weightsVersion: 'w1', running: 1, queued: 0, queuedTokens: 100, atMs: 1 },
    loadAgeMs: 0
  }))
  return { resources: { revision: 1, resources }, vms: [], endpoints: views }
}

function computeSlope (rows: Cost[], x: (row: Cost) => number): number {
  const [first, last] = [rows[0], rows[rows.length - 1]]
  return (last.warmUs - first.warmUs) / (x(last) - x(first))
}

function printRows (title: string, rows: Cost[]): void {
  console.log(`\n${title}`)
  console.log('  endpoints  local  orgs  hot keys  warm us  cold us  events us  bytes/request  held KB  snapshot us')
  for (const row of rows) {
    const cells = [row.endpoints, row.localEndpoints, row.organisations, row.hotKeys, row.warmUs.toFixed(2), row.coldUs.toFixed(2), row.eventsUs.toFixed(2), row.allocatedBytes.toFixed(0), (row.heldBytes / 1_024).toFixed(0), row.snapshotUs.toFixed(0)]
    console.log('  ' + cells.map((cell, i) => String(cell).padStart([9, 6, 5, 9, 8, 8, 10, 14, 8, 12][i])).join(' '))
  }
}

measureSize(100, 100, 100, 200)
const byLocal = [10, 50, 100, 200, 460, 920].map(local => measureSize(local, local, 100, 200))
const byAll = [460, 1_000, 3_000, 6_900].map(all => measureSize(all, REFERENCE_LOCAL_ENDPOINTS, 100, 200))
const byKeys = [100, 400, 1_600].map(keys => measureSize(REFERENCE_LOCAL_ENDPOINTS, REFERENCE_LOCAL_ENDPOINTS, 100, keys))
const byOrganisations = [25, 100, 500, 2_500].map(count => measureSize(REFERENCE_LOCAL_ENDPOINTS, REFERENCE_LOCAL_ENDPOINTS, count, 2_500))
printRows('by endpoints of the local data centre', byLocal)
printRows('by endpoints of all data centres, 460 of them local', byAll)
printRows('by hot keys', byKeys)
printRows('by organisations, at 2,500 hot keys', byOrganisations)
const slopes = {
  warmUsPerLocalEndpoint: computeSlope(byLocal, row => row.localEndpoints),
  warmUsPerEndpointElsewhere: computeSlope(byAll, row => row.endpoints),
  warmUsPerHotKey: computeSlope(byKeys, row => row.hotKeys),
  warmUsPerOrganisation: computeSlope(byOrganisations, row => row.organisations)
}
const real = byAll[byAll.length - 1]
const spread = real.warmUs / byAll[0].warmUs
console.log('\nslopes', slopes)
console.log(`${Math.max(real.warmUs, real.coldUs) < TARGET_US ? 'met    ' : 'NOT MET'}  a placement over 460 local of 6,900 endpoints under ${TARGET_US} us: known keys ${real.warmUs.toFixed(2)}, new keys ${real.coldUs.toFixed(2)}`)
console.log(`${spread <= 1.5 ? 'met    ' : 'NOT MET'}  no growth with all endpoints: 6,900 cost ${spread.toFixed(2)} times what 460 cost`)
mkdirSync(OUTPUT_URL, { recursive: true })
writeFileSync(new URL('placementCost.json', OUTPUT_URL), JSON.stringify({ byLocal, byAll, byKeys, byOrganisations, slopes }, null, 1) + '\n')
