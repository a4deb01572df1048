import test from 'ava'
import { startFakeEngine, startFakePlatform } from 'knapweedshunt-fakes'
import type { FakeEngine } from 'knapweedshunt-fakes'
import { DEFAULT_PLANNER_OPTIONS, buildFleetLeaseKey } from 'knapweedshunt-fleet'
import type { FleetOptions, LeaseRow } from 'knapweedshunt-fleet'
import { createLogger } from 'knapweedshunt-logger'
import { createPlatformClient } from 'knapweedshunt-platform'
import type { Platform } from 'knapweedshunt-platform'
import { ResourceReplica, ResourceStore } from 'knapweedshunt-resources'
import type { LoadReport, Resource } from 'knapweedshunt-types'
import { requestJson, runEvery, sleep } from 'knapweedshunt-utils'
import { readReport } from '../fleet/readReport.ts'
import { startFleetTasks } from '../fleet/startFleetTasks.ts'

const DATA_CENTRE = 'dc-1'
const FLOOR = 2
const STEP_MS = 50
const HOST = '127.0.0.1'
const OPTIONS: Partial<FleetOptions> = {
  lease: { durationMs: 2_000, guardMs: 400, intervalMs: 200, maxCommandMs: 2_000 },
  planner: { ...DEFAULT_PLANNER_OPTIONS, drainPropagationMs: 200 },
  planIntervalMs: STEP_MS,
  gossipLagMs: 200
}

interface Vm { incarnation: string, abort: AbortController, isKilled: boolean }

/** Starts a VM's fleet tasks with their own replica and load reports; once the VM is killed, its further reads, scans and transactions never reach the platform. */
function startVm (vm: string, platformUrl: string): Vm {
  const abort = new AbortController()
  const running: Vm = { incarnation: `${vm}-1`, abort, isKilled: false }
  const client = createPlatformClient({ url: platformUrl, timeoutMs: 1_000 })
  const blockIfKilled = <T>(run: () => Promise<T>): Promise<T> => running.isKilled ? new Promise(() => {}) : run()
  const platform: Platform = {
    ...client,
    read: (table, key) => blockIfKilled(() => client.read(table, key)),
    scan: request => blockIfKilled(() => client.scan(request)),
    transact: transaction => blockIfKilled(() => client.transact(transaction))
  }
  const store = new ResourceStore(platform)
  const replica = new ResourceReplica()
  const views = new Map<string, { load: LoadReport, receivedAtMs: number }>()
  runEvery(STEP_MS, abort.signal, async () => {
    const snapshot = await store.readSnapshot().catch(() => null)
    if (snapshot !== null) replica.applySnapshot(snapshot)
  })
  runEvery(STEP_MS, abort.signal, async () => {
    for (const resource of replica.snapshot.resources) {
      if (resource.kind !== 'Endpoint') continue
      const load = await readReport(resource.name, resource.spec)
      if (load !== null) views.set(resource.name, { load, receivedAtMs: performance.now() })
    }
  })
  startFleetTasks({
    self: { vm, incarnation: running.incarnation, dataCentre: DATA_CENTRE },
    platform,
    store,
    readResources: () => replica.snapshot,
    listViews: () => [...views.values()].map(({ load, receivedAtMs }) => ({ ...load, state: 'live', load, loadAgeMs: performance.now() - receivedAtMs })),
    listVms: () => [],
    log: createLogger('fleet'),
    signal: abort.signal,
    options: OPTIONS
  })
  return running
}

function buildResources (engines: FakeEngine[]): Resource[] {
  const endpoint = { pool: 'language', dataCentre: DATA_CENTRE, weight: 1, cacheBlocks: 100, checksIdempotencyKeys: false, draining: false }
  const pool = { type: 'model' as const, model: 'm', weightsVersion: 'w1', objective: 'tail' as const, floor: FLOOR, maxParallelLoads: 2 }
  return [
    { kind: 'EndpointPool', name: 'language', revision: 0, spec: pool },
    { kind: 'WeightsRollout', name: 'to-w2', revision: 0, spec: { pool: 'language', weightsVersion: 'w2', paused: false, undo: false } },
    ...engines.map(({ url, state }): Resource => ({ kind: 'Endpoint', name: state.options.endpoint, revision: 0, spec: { ...endpoint, url, checksFencing: state.options.checksFencing } }))
  ]
}

test('a roll-out completes after the VM that holds the fleet lease is killed', async t => {
  const platform = await startFakePlatform({ host: HOST, port: 0 })
  const engines = await Promise.all([1, 2, 3].map(n => startFakeEngine({ endpoint: `language-${n}`, loadWeightsMs: 100, checksFencing: n !== 3 })))
  const store = new ResourceStore(createPlatformClient({ url: platform.url, timeoutMs: 1_000 }))
  const vms = ['vm-1', 'vm-2'].map(vm => startVm(vm, platform.url))
  const readLease = () => (platform.memory.tables.read('leases', buildFleetLeaseKey(DATA_CENTRE))?.value as LeaseRow | undefined)
  let minServing = engines.length
  const countServing = () => engines.filter(({ state }) => state.role === 'serve' && !state.isLoading).length
  const samplingAbort = new AbortController()
  runEvery(1, samplingAbort.signal, () => { minServing = Math.min(minServing, countServing()) })
  try {
    await store.change({ changeId: 'first', expectedRevision: null, ops: buildResources(engines).map(resource => ({ type: 'put', resource })) })
    while (!engines.some(({ state }) => state.weightsVersion === 'w2')) await sleep(1)
    const firstLease = readLease()
    const killedVm = vms.find(vm => vm.incarnation === firstLease?.holder)
    if (killedVm) killedVm.isKilled = true
    t.true(engines.some(({ state }) => state.weightsVersion === 'w1'))

    for (;;) {
      const { resources } = await store.readSnapshot()
      const pool = resources.find(resource => resource.kind === 'EndpointPool')
      if (pool?.kind === 'EndpointPool' && pool.spec.type === 'model' && pool.spec.weightsVersion === 'w2') break
      await sleep(STEP_MS)
    }
    t.deepEqual(engines.map(({ state }) => `${state.weightsVersion} ${state.role}`), engines.map(() => 'w2 serve'))
    t.is(minServing, FLOOR)
    t.not(readLease()?.holder, firstLease?.holder)
    t.true((readLease()?.fencing ?? 0) > (firstLease?.fencing ?? 0))
    t.is(await store.readHead(), 2)

    const commandedEngine = engines.find(({ state }) => state.options.checksFencing && state.fencing > (firstLease?.fencing ?? 0))
    const staleCommand = { fencing: firstLease?.fencing, incarnation: commandedEngine?.state.incarnation, weightsVersion: 'w1' }
    const staleReply = await requestJson({ method: 'POST', url: `${commandedEngine?.url}/manage/weights`, body: staleCommand, timeoutMs: 1_000 })
    t.is(staleReply.status, 409)
  } finally {
    samplingAbort.abort()
    for (const vm of vms) vm.abort.abort()
    await Promise.all(engines.map(engine => engine.stop()))
    await platform.stop()
  }
})
