import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { EndpointWishes } from '../endpointWishes.ts'
import type { StatedWishes } from '../statedWishes.ts'

const NONE: StatedWishes = { isRejected: false, restMs: null, isLeaving: false, maxRejectionsPerS: null }
const USE = { inFlightCount: 0, slots: 8, vmCount: 2 }

function run (step: (wishes: EndpointWishes, clock: Clock) => void): void {
  const clock = install()
  try {
    step(new EndpointWishes(), clock)
  } finally {
    clock.uninstall()
  }
}

function getWaitMs (wishes: EndpointWishes, inFlightCount = 0, endpoint = 'e@1'): number {
  const acceptance = wishes.findAcceptance(endpoint, 'p', { ...USE, inFlightCount })
  return acceptance.type === 'open' ? 0 : acceptance.type === 'waiting' ? acceptance.waitMs : Infinity
}

function record (wishes: EndpointWishes, stated: Partial<StatedWishes>, sentAtMs = performance.now(), inFlightCount = 1): void {
  wishes.recordResponse('e@1', 'p', { ...NONE, ...stated }, sentAtMs, { ...USE, inFlightCount })
}

test.serial('of several rests the one that ends last counts', t => {
  run((wishes, clock) => {
    record(wishes, { isRejected: true, restMs: 3_000 })
    clock.tick(1_000)
    record(wishes, { isRejected: true, restMs: 500 })
    t.is(getWaitMs(wishes), 2_000)
    t.is(getWaitMs(wishes, 0, 'e@2'), 0)
    clock.tick(2_000)
    t.is(getWaitMs(wishes), 0)
  })
})

test.serial('after a rest an endpoint gets one request at a time until it accepts one that was sent after it', t => {
  run((wishes, clock) => {
    const sentAtMs = performance.now()
    record(wishes, { isRejected: true, restMs: 1_000 })
    clock.tick(1_000)
    t.is(getWaitMs(wishes, 0), 0)
    t.true(getWaitMs(wishes, 1) > 0)
    record(wishes, {}, sentAtMs)
    t.true(getWaitMs(wishes, 1) > 0)
    record(wishes, {})
    t.is(getWaitMs(wishes, 1), 0)
  })
})

test.serial('a rest of no time is none, and one of an hour is kept until the endpoint ends', t => {
  run((wishes, clock) => {
    record(wishes, { isRejected: true, restMs: 0 })
    t.is(getWaitMs(wishes, 0), 0)
    record(wishes, { isRejected: true, restMs: 3_600_000 })
    clock.tick(3_000_000)
    t.is(getWaitMs(wishes), 600_000)
    wishes.handleEndpointEnded('e@1')
    t.is(getWaitMs(wishes), 0)
  })
})

test.serial('leaving is final, also after a response that does not say so', t => {
  run(wishes => {
    record(wishes, { isLeaving: true })
    record(wishes, {})
    t.is(getWaitMs(wishes), Infinity)
    t.true(wishes.isLeaving('e@1'))
  })
})

// Guards against VMs that together send a brittle endpoint more rejected requests than it bears.
test.serial('a brittle endpoint that rejects a request is left alone for as long as all VMs together need', t => {
  run((wishes, clock) => {
    record(wishes, { isRejected: true, maxRejectionsPerS: 4 })
    t.is(getWaitMs(wishes), 650)
    t.true(wishes.isEndDoubtful('p'))
    t.false(wishes.isEndDoubtful('q'))
    clock.tick(3_001)
    t.false(wishes.isEndDoubtful('p'))
    record(wishes, { isRejected: true, maxRejectionsPerS: 0 })
    t.is(getWaitMs(wishes), 5_000)
  })
})

test.serial('a brittle endpoint gets a part of its slots at a time, fewer after a rejection and more again later', t => {
  run((wishes, clock) => {
    record(wishes, { maxRejectionsPerS: 4 })
    t.deepEqual([1, 2].map(count => getWaitMs(wishes, count) === 0), [true, false])
    t.is(getWaitMs(wishes, 1, 'e@2'), 0, 'an endpoint that says nothing yet')
    record(wishes, { isRejected: true, maxRejectionsPerS: 4 }, performance.now(), 2)
    clock.tick(1_700)
    t.deepEqual([0, 1].map(count => getWaitMs(wishes, count) === 0), [true, false])
    clock.tick(2_001)
    t.is(getWaitMs(wishes, 1), 0)
  })
})

test.serial('a pool is brittle for a while after its endpoints last said so', t => {
  run((wishes, clock) => {
    record(wishes, { maxRejectionsPerS: 4 })
    t.true(getWaitMs(wishes, 5) > 0)
    clock.tick(10_001)
    t.is(getWaitMs(wishes, 5), 0)
  })
})
