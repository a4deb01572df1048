import test from 'ava'
import { Placement } from '../placement.ts'
import { buildSnapshot, createEndpoints, buildRequestLevels, placeOn } from './placementHarness.ts'

const REQUESTS = Array.from({ length: 60 }, (_, i) => buildRequestLevels(`org-${i}`, ['rules']))

/** Endpoints that two routers without any exchange of demand choose for each request. */
function placeTwice (unavailable: string[]): Array<[string, string]> {
  const snapshot = buildSnapshot(createEndpoints(8, 'a'), 1)
  const routers = [1, 2].map(seed => {
    const placement = new Placement('a', { seed })
    placement.handleEvent({ type: 'snapshot', snapshot })
    return placement
  })
  return REQUESTS.map(levels => [placeOn(routers[0], { levels, unavailable }).endpoint, placeOn(routers[1], { levels, unavailable }).endpoint])
}

test('all routers choose the same replacement for an unavailable endpoint', t => {
  const homes = placeTwice([])
  for (const [one, other] of homes) t.is(one, other)
  const unavailable = ['a0', 'a1', 'a2']
  const places = placeTwice(unavailable)
  for (const [one, other] of places) t.is(one, other)
  t.true(new Set(places.map(([one]) => one)).size === 5, 'the requests of the unavailable endpoints are distributed over the others')
  for (const [i, [home]] of homes.entries()) if (!unavailable.includes(home)) t.is(places[i][0], home, 'a prefix whose home endpoint is available stays there')
})

test('a request is unplaceable when all endpoints are unavailable', t => {
  const placement = new Placement('a')
  placement.handleEvent({ type: 'snapshot', snapshot: buildSnapshot(createEndpoints(2, 'a'), 1) })
  t.deepEqual(placement.place({ pool: 'language', levels: REQUESTS[0], excluded: [], unavailable: ['a0', 'a1'] }), { type: 'unplaceable', reason: 'all-excluded' })
})
