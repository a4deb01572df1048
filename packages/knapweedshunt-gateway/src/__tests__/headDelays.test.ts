import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { HeadDelays } from '../endpoints/headDelays.ts'

/** Runs steps under the fake clock. */
function runWithClock (step: (delays: HeadDelays, clock: Clock) => void): void {
  const clock = install()
  try {
    step(new HeadDelays(), clock)
  } finally {
    clock.uninstall()
  }
}

// Guards against a request that is sent to a queue which is longer than the time left for replaced weights.
test.serial('the delay of the next response is at least the age of the oldest request without one', t => {
  runWithClock((delays, clock) => {
    const firstAtMs = performance.now()
    delays.recordStart(firstAtMs)
    clock.tick(700)
    delays.recordStart(performance.now())
    clock.tick(300)
    t.is(delays.estimateMs(), 1_000)
    delays.recordEnd(firstAtMs)
    t.is(delays.estimateMs(), 300)
  })
})

// Guards against an endpoint that counts as slow for good.
test.serial('the delay of a response counts for a while', t => {
  runWithClock((delays, clock) => {
    t.is(delays.estimateMs(), 0)
    const startedAtMs = performance.now()
    delays.recordStart(startedAtMs)
    clock.tick(900)
    delays.recordHead(startedAtMs)
    t.is(delays.estimateMs(), 900)
    clock.tick(1_999)
    t.is(delays.estimateMs(), 900)
    clock.tick(1)
    t.is(delays.estimateMs(), 0)
  })
})
