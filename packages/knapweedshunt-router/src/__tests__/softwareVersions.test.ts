import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import type { EndpointEntry } from '../endpointTable.ts'
import { SoftwareVersions } from '../softwareVersions.ts'

function buildEntry (endpoint: string, softwareVersion: string | null, change: Partial<EndpointEntry> = {}): EndpointEntry {
  return { endpoint, pool: 'p', url: '', incarnation: `${endpoint}-1`, weightsVersion: 'w1', softwareVersion, state: 'live', isUsable: true, ...change }
}

test('versions come from reports and responses', t => {
  const versions = new SoftwareVersions()
  const entries = [buildEntry('a', 'v1'), buildEntry('b', 'v2'), buildEntry('c', ''), buildEntry('d', null)]
  versions.applyEndpoints(entries)
  t.deepEqual(versions.listVersions('p').sort(), ['', 'v1', 'v2'])
  t.deepEqual(versions.listOthers(entries, 'v1'), ['b'])
  versions.recordStated('c', 'p', 'c-1', 'v2')
  versions.recordStated('d', 'p', 'd-1', 'v2')
  versions.applyEndpoints(entries)
  t.deepEqual(versions.listOthers(entries, 'v1'), ['b', 'c', 'd'])
  t.deepEqual(versions.listOthers(entries, ''), [])
})

// Guards against the version of an earlier start of an endpoint.
test('the version of an endpoint that restarted is not known until it states one', t => {
  const versions = new SoftwareVersions()
  versions.applyEndpoints([buildEntry('a', 'v1')])
  const restarted = buildEntry('a', null, { incarnation: 'a-2' })
  versions.applyEndpoints([restarted])
  t.deepEqual(versions.listOthers([restarted], 'v2'), [])
})

// Guards against a guess after the last endpoint of an older version has left.
test.serial('a version may have begun streams for five minutes after it served last', t => {
  const clock = install()
  t.teardown(() => clock.uninstall())
  const versions = new SoftwareVersions()
  versions.applyEndpoints([buildEntry('a', 'v1'), buildEntry('b', 'v2')])
  clock.tick(299_000)
  versions.applyEndpoints([buildEntry('a', 'v1', { state: 'dead' }), buildEntry('b', 'v2')])
  t.deepEqual(versions.listVersions('p'), ['v1', 'v2'])
  clock.tick(2_000)
  versions.applyEndpoints([buildEntry('a', 'v1', { state: 'dead' }), buildEntry('b', 'v2')])
  t.deepEqual(versions.listVersions('p'), ['v2'])
})
