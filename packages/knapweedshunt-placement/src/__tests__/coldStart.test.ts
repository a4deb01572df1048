import test from 'ava'
import { buildPrefixLevels } from '../buildPrefixLevels.ts'
import { Placement } from '../placement.ts'
import { buildSnapshot, createEndpoints, placeOn } from './placementHarness.ts'

const SALT = { organisation: 'o', model: 'm', adapter: '', weightsVersion: 'w1' }
const KEYS = 200
const CHARS = 500

test('a restarted router places a prefix on its home endpoint before the first report of that endpoint', t => {
  const endpoints = createEndpoints(2)
  for (let seed = 0; seed < KEYS; seed++) {
    const levels = buildPrefixLevels(SALT, [`${seed}`.padEnd(CHARS), 'section'.padEnd(CHARS)])
    const restart = (views = endpoints) => {
      const placement = new Placement('a', { seed })
      placement.handleEvent({ type: 'snapshot', snapshot: buildSnapshot(endpoints, 1, 1, 'w1', views) })
      return placeOn(placement, { levels })
    }
    const home = restart().endpoint
    const decision = restart(endpoints.filter(endpoint => endpoint.name !== home))
    t.is(decision.endpoint, home)
    t.is(decision.kvImport, null)
  }
})
