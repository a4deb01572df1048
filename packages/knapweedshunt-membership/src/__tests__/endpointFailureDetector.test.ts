import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { Liveness } from 'knapweedshunt-types'
import { EndpointFailureDetector } from '../endpointFailureDetector.ts'
import { DEFAULT_ENDPOINT_OPTIONS } from '../endpointOptions.ts'

const LOAD = { endpoint: 'e', incarnation: 'i1', weightsVersion: 'w', running: 0, queued: 0, queuedTokens: 0, atMs: 0 }

const CASES: Array<[string, (detector: EndpointFailureDetector, clock: Clock) => void, Liveness, string]> = [
  ['load reported', detector => detector.recordLoad(LOAD), 'live', 'i1'],
  ['no report for the suspect time', (detector, clock) => { detector.recordLoad(LOAD); clock.tick(2_500) }, 'suspect', 'i1'],
  ['no report, one failed request', (detector, clock) => { detector.recordLoad(LOAD); clock.tick(3_000); detector.recordOutcome('failed') }, 'dead', 'i1'],
  ['two failed requests', detector => { detector.recordLoad(LOAD); detector.recordOutcome('failed'); detector.recordOutcome('failed') }, 'suspect', 'i1'],
  ['failed requests, then an answered one', detector => { detector.recordLoad(LOAD); detector.recordOutcome('failed'); detector.recordOutcome('failed'); detector.recordOutcome('answered') }, 'live', 'i1'],
  ['two refused polls', detector => { detector.recordLoad(LOAD); detector.recordUnansweredPoll(true); detector.recordUnansweredPoll(true) }, 'dead', 'i1'],
  ['refused poll, then a poll that timed out', detector => { detector.recordLoad(LOAD); detector.recordUnansweredPoll(true); detector.recordUnansweredPoll(false) }, 'live', 'i1'],
  ['no report for the dead time', (detector, clock) => { detector.recordLoad(LOAD); clock.tick(10_000) }, 'dead', 'i1'],
  ['no poll ever answered', (detector, clock) => { detector.recordUnansweredPoll(false); clock.tick(2_500) }, 'suspect', ''],
  ['never polled', (detector, clock) => clock.tick(60_000), 'live', ''],
  ['reports again after dead', (detector, clock) => { detector.recordLoad(LOAD); clock.tick(10_000); detector.recordLoad(LOAD) }, 'live', 'i1~1'],
  ['restarted under a new incarnation', (detector, clock) => { detector.recordLoad(LOAD); clock.tick(10_000); detector.recordLoad({ ...LOAD, incarnation: 'i2' }) }, 'live', 'i2']
]

test.serial('endpoint failure detector: state and incarnation', t => {
  for (const [name, act, state, incarnation] of CASES) {
    const clock = FakeTimers.install()
    try {
      const detector = new EndpointFailureDetector(DEFAULT_ENDPOINT_OPTIONS)
      act(detector, clock)
      t.deepEqual([detector.evaluate(), detector.incarnation], [state, incarnation], name)
    } finally {
      clock.uninstall()
    }
  }
})
