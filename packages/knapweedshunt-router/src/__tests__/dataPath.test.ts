import test from 'ava'
import { hashSalt } from 'knapweedshunt-placement'
import { computeCacheSalt } from '../computeCacheSalt.ts'
import { buildRequest, DataPathHarness } from './dataPathHarness.ts'

const SALT = { organisation: 'harbour-hotel', model: 'm', adapter: '' }

test('the cache salt contains the weights version that the endpoint runs, not the target version', t => {
  const harness = new DataPathHarness(true)
  t.teardown(() => harness.path.close())
  harness.applySnapshot({ weightsVersion: 'w2', running: { e1: 'w1' } })
  const request = buildRequest('r', true)
  t.is(computeCacheSalt(harness.path, request, 'e1'), hashSalt({ ...SALT, weightsVersion: 'w1' }))
  t.is(computeCacheSalt(harness.path, request, 'e2'), hashSalt({ ...SALT, weightsVersion: 'w2' }))
})

test('a snapshot or view with an older revision is ignored', t => {
  const harness = new DataPathHarness(true)
  t.teardown(() => harness.path.close())
  const first = harness.path.snapshot
  harness.applySnapshot({ weightsVersion: 'w2' })
  const second = harness.path.snapshot
  t.is(harness.path.applySnapshot(first), 2)
  t.is(harness.path.snapshot, second)
  const pool = harness.path.resourceIndex?.findPool('language')
  t.is(pool?.type === 'model' ? pool.weightsVersion : null, 'w2')
  t.is(harness.path.applyViews({ revision: 1, vms: [], endpoints: [] }), 2)
  t.is(harness.path.snapshot, second)
})
