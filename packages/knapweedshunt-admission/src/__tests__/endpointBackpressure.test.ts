import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { EndpointBackpressure } from '../endpointBackpressure.ts'
import type { BackpressureSignals } from '../backpressureSignals.ts'

const NONE: BackpressureSignals = { isRejected: false, backoffMs: null, isLeaving: false, maxRejectionsPerS: null }
const USE = { inFlightCount: 0, slots: 8, vmCount: 2 }

function run (step: (signals: EndpointBackpressure, clock: Clock) => void): void {
  const clock = install()
  try {
    step(new EndpointBackpressure(), clock)
  } finally {
    clock.uninstall()
  }
}

function getWaitMs (signals: EndpointBackpressure, inFlightCount = 0, endpoint = 'e@1'): number {
  const acceptance = signals.findAcceptance(endpoint, 'p', { ...USE, inFlightCount })
  return acceptance.type === 'open' ? 0 : acceptance.type === 'waiting' ? acceptance.waitMs : Infinity
}

function record (signals: EndpointBackpressure, stated: Partial<BackpressureSignals>, sentAtMs = performance.now(), inFlightCount = 1): void {
  signals.recordResponse('e@1', 'p', { ...NONE, ...stated }, sentAtMs, { ...USE, inFlightCount })
}

test.serial('of several back-offs the one that ends last counts', t => {
  run((signals, clock) => {
    record(signals, { isRejected: true, backoffMs: 3_000 })
    clock.tick(1_000)
    record(signals, { isRejected: true, backoffMs: 500 })
    t.is(getWaitMs(signals), 2_000)
    t.is(getWaitMs(signals, 0, 'e@2'), 0)
    clock.tick(2_000)
    t.is(getWaitMs(signals), 0)
  })
})

test.serial('after a back-off an endpoint gets one request at a time until it accepts one that was sent after it', t => {
  run((signals, clock) => {
    const sentAtMs = performance.now()
    record(signals, { isRejected: true, backoffMs: 1_000 })
    clock.tick(1_000)
    t.is(getWaitMs(signals, 0), 0)
    t.true(getWaitMs(signals, 1) > 0)
    record(signals, {}, sentAtMs)
    t.true(getWaitMs(signals, 1) > 0)
    record(signals, {})
    t.is(getWaitMs(signals, 1), 0)
  })
})

test.serial('a back-off of no time is none, and one of an hour is kept until the endpoint ends', t => {
  run((signals, clock) => {
    record(signals, { isRejected: true, backoffMs: 0 })
    t.is(getWaitMs(signals, 0), 0)
    record(signals, { isRejected: true, backoffMs: 3_600_000 })
    clock.tick(3_000_000)
    t.is(getWaitMs(signals), 600_000)
    signals.handleEndpointEnded('e@1')
    t.is(getWaitMs(signals), 0)
  })
})

test.serial('leaving is final, also after a response that does not say so', t => {
  run(signals => {
    record(signals, { isLeaving: true })
    record(signals, {})
    t.is(getWaitMs(signals), Infinity)
    t.true(signals.isLeaving('e@1'))
  })
})

// Guards against VMs that together send a brittle endpoint more rejected requests than it bears.
test.serial('a brittle endpoint that rejects a request is left alone for as long as all VMs together need', t => {
  run((signals, clock) => {
    record(signals, { isRejected: true, maxRejectionsPerS: 4 })
    t.is(getWaitMs(signals), 650)
    t.true(signals.isEndDoubtful('p'))
    t.false(signals.isEndDoubtful('q'))
    clock.tick(3_001)
    t.false(signals.isEndDoubtful('p'))
    record(signals, { isRejected: true, maxRejectionsPerS: 0 })
    t.is(getWaitMs(signals), 5_000)
  })
})

test.serial('a brittle endpoint gets a part of its slots at a time, fewer after a rejection and more again later', t => {
  run((signals, clock) => {
    record(signals, { maxRejectionsPerS: 4 })
    t.deepEqual([1, 2].map(count => getWaitMs(signals, count) === 0), [true, false])
    t.is(getWaitMs(signals, 1, 'e@2'), 0, 'an endpoint that says nothing yet')
    record(signals, { isRejected: true, maxRejectionsPerS: 4 }, performance.now(), 2)
    clock.tick(1_700)
    t.deepEqual([0, 1].map(count => getWaitMs(signals, count) === 0), [true, false])
    clock.tick(2_001)
    t.is(getWaitMs(signals, 1), 0)
  })
})

test.serial('a pool is brittle for a while after its endpoints last said so', t => {
  run((signals, clock) => {
    record(signals, { maxRejectionsPerS: 4 })
    t.true(getWaitMs(signals, 5) > 0)
    clock.tick(10_001)
    t.is(getWaitMs(signals, 5), 0)
  })
})
