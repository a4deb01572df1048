import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import type { PartEvidence } from 'knapweedshunt-attempts'
import { SuspectTracker } from '../directory/suspectTracker.ts'
import type { SuspectTrackerDependencies } from '../directory/suspectTracker.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { RequestPlan } from '../flow/requestPlan.ts'
import type { EndpointEntry } from '../ports/endpointEntry.ts'

function buildRecord (n: number): EndpointRecord {
  return new EndpointRecord({ endpoint: `e${n}`, incarnation: `e${n}@1` } as EndpointEntry)
}

/** A VM whose announcements about prompt parts are counted. */
class CountingVm {
  announcedCount = 0
  readonly tracker = new SuspectTracker({
    metrics: { recordMark () {}, recordPartQuarantine () {} },
    decisionLog: { record () {} },
    findIncarnation: () => null,
    countEndpoints: () => 20,
    probe () {},
    announceMark () {},
    removeMark () {},
    announceParts: () => { this.announcedCount++ }
  } as unknown as SuspectTrackerDependencies)

  serveOthers (): void {
    for (let i = 0; i < 20; i++) this.tracker.recordAnswered({ call: { requestId: `o${i}` }, fingerprint: `o${i}`, sharedParts: [`other${i}`] } as RequestPlan, buildRecord(9), performance.now(), 200)
  }

  /** Loses a request with the crashing part. */
  lose (n: number): void {
    const record = buildRecord(n)
    this.tracker.recordCrash({ requestId: `r${n}`, fingerprint: `f${n}`, sharedParts: ['bad'], record, startedAtMs: performance.now() - 50 }, LOSS_REASON.reset)
  }

  learn (evidence: PartEvidence): void {
    this.tracker.applyPartEvidence({ evidence, from: 'other', ageMs: 0, isOwn: false })
  }
}

// Guards against quarantines that no row names, so that operators and VMs that start do not learn of them.
test.serial('a quarantine that follows from the crashes of several VMs is announced by those that recorded one', t => {
  const clock = install()
  try {
    const [first, second, third] = [new CountingVm(), new CountingVm(), new CountingVm()]
    clock.tick(1_000)
    for (const vm of [first, second, third]) vm.serveOthers()
    for (let n = 0; n < 3; n++) {
      (n < 2 ? first : second).lose(n)
      clock.tick(200)
    }
    const counts = [first.announcedCount, second.announcedCount]
    const [ofFirst, ofSecond] = [first.tracker.buildPartEvidence(), second.tracker.buildPartEvidence()]
    first.learn(ofSecond)
    second.learn(ofFirst)
    third.learn(ofFirst)
    third.learn(ofSecond)
    for (const { tracker } of [first, second, third]) t.is(tracker.partQuarantineCount, 1)
    clock.tick(1_000)
    t.deepEqual([first.announcedCount, second.announcedCount, third.announcedCount], [counts[0] + 1, counts[1] + 1, 0])
  } finally {
    clock.uninstall()
  }
})
