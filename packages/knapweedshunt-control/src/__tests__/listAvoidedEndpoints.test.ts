import test from 'ava'
import type { DataCentreView } from 'knapweedshunt-membership'
import type { Resource } from 'knapweedshunt-types'
import { listAvoidedEndpoints } from '../listAvoidedEndpoints.ts'

function buildDataCentreView (dataCentre: string, reached: boolean, down: string[]): DataCentreView {
  return { dataCentre, seq: 1, floor: 1, lagging: [], down, roster: [], reached }
}

function buildEndpoint (name: string, dataCentre: string): Resource {
  const spec = { pool: 'p', url: 'http://127.0.0.1:1', dataCentre, weight: 1, cacheBlocks: 0, checksFencing: false, checksIdempotencyKeys: false, draining: false }
  return { kind: 'Endpoint', name, revision: 1, spec }
}

const RESOURCES = [buildEndpoint('b1', 'b'), buildEndpoint('b2', 'b'), buildEndpoint('c1', 'c')]

test('endpoints reported as down are avoided', t => {
  t.deepEqual(listAvoidedEndpoints([buildDataCentreView('b', true, ['b2']), buildDataCentreView('c', true, [])], RESOURCES), ['b2'])
})

test('all endpoints of an unreachable data centre are avoided', t => {
  t.deepEqual(listAvoidedEndpoints([buildDataCentreView('b', false, ['b2']), buildDataCentreView('c', true, [])], RESOURCES).sort(), ['b1', 'b2'])
})
