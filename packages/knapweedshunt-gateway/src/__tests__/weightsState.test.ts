import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { WeightsState } from '../weights/weightsState.ts'

function createWeightsState (): WeightsState {
  return new WeightsState({ getMaxStaleMs: () => 6_000, holder: 'vm', recordDecision: () => {}, onServedVersion: () => {} } as unknown as ConstructorParameters<typeof WeightsState>[0])
}

/** Runs steps on a state under the fake clock. */
function runWithClock (step: (weights: WeightsState, clock: Clock) => void): void {
  const clock = install()
  try {
    step(createWeightsState(), clock)
  } finally {
    clock.uninstall()
  }
}

test.serial('no request starts on a version that was replaced too long ago', t => {
  runWithClock((weights, clock) => {
    weights.applyTarget({ model: 'm', version: 2 }, true)
    clock.tick(3_000)
    weights.applyTarget({ model: 'm', version: 3 }, true)
    t.is(weights.findMinAllowedVersion('m'), 0)
    clock.tick(3_000)
    t.is(weights.findMinAllowedVersion('m'), 2)
    clock.tick(3_000)
    t.is(weights.findMinAllowedVersion('m'), 3)
  })
})

// Guards against requests that stand in the queue of an endpoint until its weights have been replaced for too long.
test.serial('a request is sent to replaced weights only if it begins in time, and is withdrawn otherwise', t => {
  runWithClock((weights, clock) => {
    weights.applyTarget({ model: 'm', version: 2 }, true)
    clock.tick(4_000)
    t.is(weights.findMinAllowedVersion('m', 2_000), 0)
    t.is(weights.findMinAllowedVersion('m', 3_000), 2)
    clock.tick(2_000)
    t.is(weights.findMinAllowedVersion('m'), 2)
    t.is(weights.findMinBeginVersion('m'), 0)
    clock.tick(900)
    t.is(weights.findMinBeginVersion('m'), 2)
  })
})

test.serial('replaced weights still count as current for a while', t => {
  runWithClock((weights, clock) => {
    weights.applyTarget({ model: 'm', version: 2 }, true)
    t.is(weights.findMinCurrentVersion('m'), 0)
    clock.tick(1_400)
    weights.applyTarget({ model: 'm', version: 3 }, true)
    t.is(weights.findMinCurrentVersion('m'), 0)
    clock.tick(200)
    t.is(weights.findMinCurrentVersion('m'), 2)
    clock.tick(1_300)
    t.is(weights.findMinCurrentVersion('m'), 3)
    t.is(weights.findMinAllowedVersion('m'), 0)
  })
})

test.serial('a version read at start-up may have been set long ago', t => {
  runWithClock((weights, clock) => {
    weights.applyTarget({ model: 'm', version: 4 }, false)
    t.is(weights.findMinAllowedVersion('m'), 0)
    clock.tick(3_000)
    t.is(weights.findMinAllowedVersion('m'), 4)
  })
})

test('an older target version is ignored', t => {
  const weights = createWeightsState()
  t.true(weights.applyTarget({ model: 'm', version: 2 }, true))
  t.false(weights.applyTarget({ model: 'm', version: 1 }, true))
  t.is(weights.findTargetVersion('m'), 2)
})
