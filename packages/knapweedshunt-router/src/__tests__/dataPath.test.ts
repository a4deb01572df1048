import test from 'ava'
import { hashSalt } from 'knapweedshunt-placement'
import { nameSalt } from '../nameSalt.ts'
import { buildRequest, Stage } from './stage.ts'

const SALT = { organisation: 'harbour-hotel', model: 'm', adapter: '' }

test('salt names the weights that the endpoint runs, not those wished', t => {
  const stage = new Stage(true)
  t.teardown(() => stage.path.close())
  stage.push({ weightsVersion: 'w2', running: { e1: 'w1' } })
  const request = buildRequest('r', true)
  t.is(nameSalt(stage.path, request, 'e1'), hashSalt({ ...SALT, weightsVersion: 'w1' }))
  t.is(nameSalt(stage.path, request, 'e2'), hashSalt({ ...SALT, weightsVersion: 'w2' }))
})

test('an older snapshot or view changes nothing', t => {
  const stage = new Stage(true)
  t.teardown(() => stage.path.close())
  const first = stage.path.snapshot
  stage.push({ weightsVersion: 'w2' })
  const second = stage.path.snapshot
  t.is(stage.path.takeSnapshot(first), 2)
  t.is(stage.path.snapshot, second)
  const pool = stage.path.index?.findPool('language')
  t.is(pool?.type === 'model' ? pool.weightsVersion : null, 'w2')
  t.is(stage.path.takeViews({ revision: 1, vms: [], endpoints: [] }), 2)
  t.is(stage.path.snapshot, second)
})
