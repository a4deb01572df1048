import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { Liveness } from 'knapweedshunt-types'
import { EndpointEvidence } from '../endpointEvidence.ts'
import { DEFAULT_ENDPOINT_OPTIONS } from '../endpointOptions.ts'

const LOAD = { endpoint: 'e', incarnation: 'i1', weightsVersion: 'w', running: 0, queued: 0, queuedTokens: 0, atMs: 0 }

const CASES: Array<[string, (evidence: EndpointEvidence, clock: Clock) => void, Liveness, string]> = [
  ['reported', evidence => evidence.takeLoad(LOAD), 'live', 'i1'],
  ['silent', (evidence, clock) => { evidence.takeLoad(LOAD); clock.tick(2_500) }, 'suspect', 'i1'],
  ['silent and failing', (evidence, clock) => { evidence.takeLoad(LOAD); clock.tick(3_000); evidence.takeOutcome('failed') }, 'dead', 'i1'],
  ['failing twice', evidence => { evidence.takeLoad(LOAD); evidence.takeOutcome('failed'); evidence.takeOutcome('failed') }, 'suspect', 'i1'],
  ['failing, then answering', evidence => { evidence.takeLoad(LOAD); evidence.takeOutcome('failed'); evidence.takeOutcome('failed'); evidence.takeOutcome('answered') }, 'live', 'i1'],
  ['refusing', evidence => { evidence.takeLoad(LOAD); evidence.takeSilence(true); evidence.takeSilence(true) }, 'dead', 'i1'],
  ['refusing, then timing out', evidence => { evidence.takeLoad(LOAD); evidence.takeSilence(true); evidence.takeSilence(false) }, 'live', 'i1'],
  ['silent for long', (evidence, clock) => { evidence.takeLoad(LOAD); clock.tick(10_000) }, 'dead', 'i1'],
  ['never answering', (evidence, clock) => { evidence.takeSilence(false); clock.tick(2_500) }, 'suspect', ''],
  ['not polled', (evidence, clock) => clock.tick(60_000), 'live', ''],
  ['back after dead', (evidence, clock) => { evidence.takeLoad(LOAD); clock.tick(10_000); evidence.takeLoad(LOAD) }, 'live', 'i1~1'],
  ['restarted', (evidence, clock) => { evidence.takeLoad(LOAD); clock.tick(10_000); evidence.takeLoad({ ...LOAD, incarnation: 'i2' }) }, 'live', 'i2']
]

test.serial('endpoint evidence', t => {
  for (const [name, act, state, incarnation] of CASES) {
    const clock = FakeTimers.install()
    try {
      const evidence = new EndpointEvidence(DEFAULT_ENDPOINT_OPTIONS)
      act(evidence, clock)
      t.deepEqual([evidence.judge(), evidence.incarnation], [state, incarnation], name)
    } finally {
      clock.uninstall()
    }
  }
})
