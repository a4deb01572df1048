import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { WaveNotice } from 'knapweedshunt-fleet'
import { WeightsState } from '../weights/weightsState.ts'

const NOTICE: WaveNotice = { vm: 'vm-2', pool: 'p', model: 'm', version: 2, loading: [], reached: [], endedFencing: null, isLeaving: false }

function createWeightsState (notices: WaveNotice[] = [], noticeAgeMs = 0): WeightsState {
  const roster = { listWaveNotices: () => notices, findWaveNotice: () => ({ notice: notices[0], ageMs: noticeAgeMs }) }
  return new WeightsState({ getMaxStaleMs: () => 6_000, holder: 'vm', roster, recordDecision: () => {}, onServedVersion: () => {} } as unknown as ConstructorParameters<typeof WeightsState>[0])
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
    clock.tick(2_000)
    t.is(weights.findMinAllowedVersion('m'), 4)
  })
})

// Guards against requests to weights that were replaced beyond their bound before the VM started, or before it received the change.
test.serial('the age of a version is known from the notice of a wave', t => {
  for (const isNew of [false, true]) {
    runWithClock(weights => {
      weights.applyTarget({ model: 'm', version: 2 }, isNew)
      weights.applyVersionAge({ ...NOTICE, versionAgeMs: 5_900 })
      t.is(weights.findMinAllowedVersion('m'), 0)
      weights.applyVersionAge({ ...NOTICE, versionAgeMs: 6_000 })
      t.is(weights.findMinAllowedVersion('m'), 2)
      weights.applyVersionAge({ ...NOTICE, versionAgeMs: 10 })
      t.is(weights.findMinAllowedVersion('m'), 2)
    })
  }
  const later = createWeightsState([{ ...NOTICE, versionAgeMs: 4_000 }], 2_000)
  later.applyTarget({ model: 'm', version: 2 }, false)
  t.is(later.findMinAllowedVersion('m'), 2)
})

test.serial('notices without an age, or of another version, change nothing', t => {
  runWithClock(weights => {
    weights.applyTarget({ model: 'm', version: 2 }, true)
    weights.applyVersionAge(NOTICE)
    weights.applyVersionAge({ ...NOTICE, version: 3, versionAgeMs: 9_000 })
    weights.applyVersionAge({ ...NOTICE, model: 'n', versionAgeMs: 9_000 })
    t.is(weights.findMinAllowedVersion('m'), 0)
  })
})

test.serial('a version read with the whole table was set after the one before it', t => {
  runWithClock((weights, clock) => {
    weights.applyTarget({ model: 'm', version: 2 }, true)
    clock.tick(1_000)
    weights.applyTarget({ model: 'm', version: 3 }, false)
    clock.tick(4_900)
    t.is(weights.findMinAllowedVersion('m'), 0)
    clock.tick(200)
    t.is(weights.findMinAllowedVersion('m'), 3)
  })
})

test('an older target version is ignored', t => {
  const weights = createWeightsState()
  t.true(weights.applyTarget({ model: 'm', version: 2 }, true))
  t.false(weights.applyTarget({ model: 'm', version: 1 }, true))
  t.is(weights.findTargetVersion('m'), 2)
})
