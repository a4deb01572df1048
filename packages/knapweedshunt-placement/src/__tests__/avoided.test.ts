import test from 'ava'
import { Placement } from '../placement.ts'
import { buildSnapshot, createEndpoints, buildRequestLevels, placeOn } from './placementHarness.ts'

const NEAR = { nearDataCentres: ['b'] }

test('avoided endpoints get no requests until the snapshot no longer lists them', t => {
  const placement = new Placement('a', NEAR)
  const near = createEndpoints(3, 'b')
  const endpoints = [...createEndpoints(1, 'a'), ...near]
  const snapshot = buildSnapshot(endpoints, 1, 1, 'w1', [endpoints[0]])
  const avoided = near.map(endpoint => endpoint.name)
  const requests = Array.from({ length: 40 }, (_, i) => buildRequestLevels(`org-${i}`, ['rules']))
  const place = () => new Set(requests.map(levels => placeOn(placement, { levels }).endpoint))

  placement.handleEvent({ type: 'snapshot', snapshot })
  t.true(place().size > 1)
  placement.handleEvent({ type: 'answered', attempt: 'none', incarnation: 'x', weightsVersion: 'w1' })
  placement.handleEvent({ type: 'snapshot', snapshot: { ...snapshot, avoided } })
  t.deepEqual([...place()], ['a0'])
  placement.handleEvent({ type: 'snapshot', snapshot: { ...snapshot, avoided: avoided.slice(1) } })
  t.deepEqual([...place()].sort(), ['a0', 'b0'])
  placement.handleEvent({ type: 'snapshot', snapshot })
  t.is(place().size, 4)
})

test('an endpoint remains avoided when its incarnation becomes known', t => {
  const placement = new Placement('a', NEAR)
  const endpoints = [...createEndpoints(1, 'a'), ...createEndpoints(1, 'b')]
  const snapshot = buildSnapshot(endpoints, 1, 1, 'w1', [endpoints[0]])
  placement.handleEvent({ type: 'snapshot', snapshot })
  placement.handleEvent({ type: 'started', attempt: 'one', endpoint: 'b0', tokens: 10 })
  placement.handleEvent({ type: 'snapshot', snapshot: { ...snapshot, avoided: ['b0'] } })
  placement.handleEvent({ type: 'answered', attempt: 'one', incarnation: 'b0-1', weightsVersion: 'w1' })
  t.deepEqual(placement.rank({ pool: 'language', levels: buildRequestLevels('org', ['rules']) }), ['a0'])
})
