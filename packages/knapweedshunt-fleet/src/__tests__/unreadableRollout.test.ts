import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import type { EndpointView, LoadReport, Resource } from 'knapweedshunt-types'
import { DEFAULT_FLEET_OPTIONS } from '../fleetOptions.ts'
import { FleetTask } from '../fleetTask.ts'
import { buildRolloutKey, ROLLOUT_TABLE } from '../rolloutState.ts'

const POOLS = ['first', 'second']

function buildResources (): Resource[] {
  return POOLS.flatMap((pool): Resource[] => [
    { kind: 'EndpointPool', name: pool, revision: 1, spec: { type: 'model', model: 'm', weightsVersion: 'w1', objective: 'tail', floor: 0, maxParallelLoads: 1 } },
    { kind: 'WeightsRollout', name: `${pool}-w2`, revision: 1, spec: { pool, weightsVersion: 'w2', paused: false, undo: false } },
    { kind: 'Endpoint', name: `${pool}-1`, revision: 1, spec: { pool, url: 'http://10.0.0.1:80', dataCentre: 'z', weight: 1, cacheBlocks: 0, checksFencing: true, checksIdempotencyKeys: false, draining: false } }
  ])
}

function buildView (endpoint: string): EndpointView {
  const load: LoadReport = { endpoint, incarnation: `${endpoint}@1`, weightsVersion: 'w1', running: 0, queued: 0, queuedTokens: 0, atMs: 1, role: 'serve' }
  return { endpoint, incarnation: `${endpoint}@1`, state: 'live', weightsVersion: 'w1', load, loadAgeMs: 0 }
}

const ODD: Array<[string, unknown]> = [['nothing', undefined], ['null', null], ['text', 'x'], ['no fields', {}], ['odd slots', { slots: [null], failures: { goalKey: '', inRow: 0 }, dataCentres: [], completedKey: '', revision: 0 }], ['odd progress', { slots: [], failures: { goalKey: '', inRow: 0 }, dataCentres: 7, completedKey: '', revision: 0 }], ['revision 1e300', { slots: [], failures: { goalKey: '', inRow: 0 }, dataCentres: [], completedKey: '', revision: 1e300 }]]

for (const [name, value] of ODD) {
  // Guards against pools that keep their weights, and against a process that ends, because of the row of another pool that cannot be read.
  test.serial(`a pool whose row cannot be read waits, and the others do not: ${name}`, async t => {
    const clock = install()
    const abort = new AbortController()
    try {
      const platform = new MemoryPlatform()
      await platform.transact({ checks: [], writes: [{ type: 'put', table: ROLLOUT_TABLE, key: buildRolloutKey('first'), value }] })
      const errors: string[] = []
      const log = { debug () {}, info () {}, warn () {}, error: (message: string) => errors.push(message) }
      const resources = buildResources()
      const ports = {
        platform,
        readResources: () => ({ revision: 1, resources }),
        listViews: () => POOLS.map(pool => buildView(`${pool}-1`)),
        readReport: async (endpoint: string) => buildView(endpoint).load,
        sendCommand: async () => 'taken' as never,
        commitWeights: async () => true as never,
        readRank: () => 0,
        log
      }
      const running = new FleetTask({ ...DEFAULT_FLEET_OPTIONS, dataCentre: 'z' }, ports, { readFencing: () => 1 } as never).run(abort.signal)
      running.catch(error => t.fail(String(error)))
      await clock.tickAsync(20_000)
      t.not(await platform.read(ROLLOUT_TABLE, buildRolloutKey('second')), null)
      t.deepEqual((await platform.read(ROLLOUT_TABLE, buildRolloutKey('first')))?.value, value)
      t.is(errors.length, 1)
    } finally {
      abort.abort()
      clock.uninstall()
    }
  })
}
