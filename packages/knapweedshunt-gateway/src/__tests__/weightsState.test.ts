import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { WeightsState } from '../weights/weightsState.ts'

function build (): WeightsState {
  return new WeightsState({ readStaleMs: () => 6_000, holder: 'vm', record: () => {}, onReached: () => {} } as unknown as ConstructorParameters<typeof WeightsState>[0])
}

/** Runs steps on a state under the fake clock. */
function run (step: (weights: WeightsState, clock: Clock) => void): void {
  const clock = install()
  try {
    step(build(), clock)
  } finally {
    clock.uninstall()
  }
}

test.serial('versions that were replaced too long ago are not begun on', t => {
  run((weights, clock) => {
    weights.takeWished({ model: 'm', version: 2 }, true)
    clock.tick(3_000)
    weights.takeWished({ model: 'm', version: 3 }, true)
    t.is(weights.findOldest('m'), 0)
    clock.tick(3_000)
    t.is(weights.findOldest('m'), 2)
    clock.tick(3_000)
    t.is(weights.findOldest('m'), 3)
  })
})

test.serial('weights are current for a while after they were replaced', t => {
  run((weights, clock) => {
    weights.takeWished({ model: 'm', version: 2 }, true)
    t.is(weights.findCurrent('m'), 0)
    clock.tick(1_400)
    weights.takeWished({ model: 'm', version: 3 }, true)
    t.is(weights.findCurrent('m'), 0)
    clock.tick(200)
    t.is(weights.findCurrent('m'), 2)
    clock.tick(1_300)
    t.is(weights.findCurrent('m'), 3)
    t.is(weights.findOldest('m'), 0)
  })
})

test.serial('a version found at a start may have been named long ago', t => {
  run((weights, clock) => {
    weights.takeWished({ model: 'm', version: 4 }, false)
    t.is(weights.findOldest('m'), 0)
    clock.tick(3_000)
    t.is(weights.findOldest('m'), 4)
  })
})

test('an older version is not wished again', t => {
  const weights = build()
  t.true(weights.takeWished({ model: 'm', version: 2 }, true))
  t.false(weights.takeWished({ model: 'm', version: 1 }, true))
  t.is(weights.findWished('m'), 2)
})
