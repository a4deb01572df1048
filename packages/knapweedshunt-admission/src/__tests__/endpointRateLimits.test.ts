import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { EndpointRateLimits } from '../endpointRateLimits.ts'
import { EndpointLimitSimulation } from './endpointLimitSimulation.ts'
import type { LimitScenario } from './endpointLimitSimulation.ts'

const WARM_UP_MS = 8_000
const DURATION_MS = 20_000
const MS_PER_SECOND = 1_000

/** Share of the limits that must be in use while callers send more than they allow. */
const MIN_USED_SHARE = 0.8

const SCENARIO: LimitScenario = { seed: 1, vmCount: 8, limits: [3, 3, 3, 3], maxDemandPerS: 0, demandChangeMs: null, hasQuietTimes: false, maxExchangeMs: 100, disturbances: [], durationMs: DURATION_MS }

function simulate (scenario: LimitScenario, demands: number[], run: (simulation: EndpointLimitSimulation, tick: (ms: number) => void) => void): void {
  const clock = install()
  try {
    const simulation = new EndpointLimitSimulation(scenario)
    simulation.start()
    simulation.setDemands(demands)
    run(simulation, ms => { clock.tick(ms) })
  } finally {
    clock.uninstall()
  }
}

const SPREADS: Array<[string, number[]]> = [
  ['equal demands', [5, 5, 5, 5, 5, 5, 5, 5]],
  ['nine tenths at one VM', [36, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6]],
  ['two VMs of eight', [20, 20, 0, 0, 0, 0, 0, 0]]
]

for (const [title, demands] of SPREADS) {
  test.serial(`the limits of all endpoints are used: ${title}`, t => {
    simulate(SCENARIO, demands, (simulation, tick) => {
      tick(WARM_UP_MS + DURATION_MS)
      const used = simulation.sent.filter(({ atMs }) => atMs >= WARM_UP_MS).length / (12 * DURATION_MS / MS_PER_SECOND)
      t.true(used >= MIN_USED_SHARE && used <= 1, `${used.toFixed(2)} used`)
    })
  })
}

for (const limit of [1, 3]) {
  test.serial(`all VMs know within 2 s that a limit of ${limit} a second has ended`, t => {
    simulate({ ...SCENARIO, limits: [limit] }, [5, 5, 5, 5, 5, 5, 5, 5], (simulation, tick) => {
      tick(WARM_UP_MS)
      simulation.state('e0', null)
      tick(2_000)
      for (let vm = 0; vm < 8; vm++) t.deepEqual(simulation.listKnown(vm), [null])
    })
  })
}

for (const limit of [1, 10]) {
  // Guards against parts that were not used for a while and are then used by all VMs at once.
  test.serial(`VMs keep a limit of ${limit} a second together after a quiet time`, t => {
    simulate({ ...SCENARIO, vmCount: 12, limits: [limit] }, Array(12).fill(5), (simulation, tick) => {
      tick(WARM_UP_MS)
      simulation.setDemands(Array(12).fill(0))
      tick(60_000)
      simulation.setDemands(Array(12).fill(20))
      tick(DURATION_MS)
      t.true(simulation.countMostInWindow('e0') <= 6 * limit + 5, `${simulation.countMostInWindow('e0')} requests`)
    })
  })
}

test.serial('a VM that got no response of its own knows the limit', t => {
  simulate({ ...SCENARIO, limits: [1] }, [5, 0, 0, 0, 0, 0, 0, 0], (simulation, tick) => {
    tick(3_000)
    for (let vm = 0; vm < 8; vm++) t.deepEqual(simulation.listKnown(vm), [1])
  })
})

test.serial('the end of a limit of 0 is noticed', t => {
  simulate({ ...SCENARIO, limits: [0] }, [5, 5, 5, 5, 5, 5, 5, 5], (simulation, tick) => {
    tick(30_000)
    t.true(simulation.sent.filter(({ atMs }) => atMs > 1_000).length <= 4)
    simulation.state('e0', null)
    tick(20_000)
    t.deepEqual(simulation.listKnown(0), [null])
  })
})

test('a response to an attempt from before the limit does not end it', t => {
  const limits = new EndpointRateLimits('a', 'a@1')
  limits.setVms(['a'])
  limits.recordStated('e', 'p', 2, 100)
  t.is(limits.recordStated('e', 'p', null, 90), null)
  t.is(limits.findLimit('e'), 2)
  t.deepEqual(limits.recordStated('e', 'p', null, 110), { endpoint: 'e', requestsPerS: null, previousPerS: 2 })
})

test('a VM that does not know the other VMs sends a limited endpoint nothing', t => {
  const limits = new EndpointRateLimits('a', 'a@1')
  limits.recordStated('e', 'p', 2, 100)
  t.false(limits.canSend('e'))
  t.is(limits.getWaitMs('e'), Infinity)
  t.true(limits.canSend('other'))
})

test('a report that is read again changes nothing', t => {
  const [writer, reader] = [new EndpointRateLimits('a', 'a@1'), new EndpointRateLimits('b', 'b@1')]
  writer.recordStated('e', 'p', 2, 0)
  const report = writer.buildReport()
  t.is(reader.applyReport('a', 'a@1', report).length, 1)
  reader.recordStated('e', 'p', null, performance.now() + 1)
  t.deepEqual(reader.applyReport('a', 'a@1', report), [])
  t.is(reader.findLimit('e'), null)
})

test('a VM that restarts adopts the limits in its earlier report, but not its demand', t => {
  const limits = new EndpointRateLimits('a', 'a@2')
  limits.setVms(['a', 'b'])
  limits.applyReport('a', 'a@1', { demands: { p: 50 }, statements: [{ endpoint: 'e', pool: 'p', requestsPerS: 2, n: 1 }] })
  t.is(limits.findLimit('e'), 2)
  t.is(limits.getOwnRatePerS('e'), 1)
})

// Guards against a pool whose limited endpoints get nothing because its name is that of a property of every object.
test('a pool may have the name of a property of objects', t => {
  const limits = new EndpointRateLimits('a', 'a@1')
  limits.setVms(['a', 'b'])
  limits.applyReport('b', 'b@1', { demands: {}, statements: [{ endpoint: 'e', pool: 'constructor', requestsPerS: 2, n: 1 }] })
  limits.applyReport('a', 'a@1', { demands: {}, statements: [] })
  t.is(limits.getOwnRatePerS('e'), 1)
})
