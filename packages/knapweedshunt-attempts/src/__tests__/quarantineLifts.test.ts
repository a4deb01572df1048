import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { addElapsedTime } from '../addElapsedTime.ts'
import { CrashingPartDetector } from '../crashingPartDetector.ts'
import { quarantineLiftSchema } from '../quarantineLift.ts'
import type { SuspectMark } from '../suspectMark.ts'
import { suspectMarkSchema } from '../suspectMark.ts'
import { SuspectRegistry } from '../suspectRegistry.ts'

const OPTIONS = { maxCrashes: 3, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10, doubt: null }

const FINGERPRINT = 'f'.repeat(64)

const START = FINGERPRINT.slice(0, 12)

const OTHERS = Array.from({ length: 10 }, (_, i) => [`first${i % 2}`, `second${i}`])

/** Runs a test on the fake clock, some time after its start. */
function runWithClock (run: (t: ExecutionContext, clock: Clock) => void): (t: ExecutionContext) => void {
  return t => {
    const clock = install()
    clock.tick(1_000)
    try {
      run(t, clock)
    } finally {
      clock.uninstall()
    }
  }
}

/** The request crashes this many endpoints, one after the other; returns the last mark. */
function crashRequest (clock: Clock, registry: SuspectRegistry, count: number): SuspectMark {
  let mark: SuspectMark | null = null
  for (let n = 0; n < count; n++) {
    clock.tick(100)
    mark = suspectMarkSchema.parse(registry.recordCrash(FINGERPRINT, `e@${performance.now()}`, performance.now() - 50))
  }
  return mark!
}

/** Returns the mark as an earlier build writes it. */
function withoutCrashes (mark: SuspectMark): SuspectMark {
  return mark.type === 'quarantined' ? { ...mark, crashes: undefined } : mark
}

function crashPart (clock: Clock, detector: CrashingPartDetector, count: number, parts = ['first0', 'bad']): void {
  for (let n = 0; n < count; n++) {
    clock.tick(500)
    for (const served of OTHERS) detector.recordServed(served)
    const startedAtMs = performance.now()
    clock.tick(100)
    detector.recordCrash(parts, `e@${startedAtMs}`, startedAtMs)
  }
}

test.serial('a lifted request is clear, and its crashes count anew', runWithClock((t, clock) => {
  const registry = new SuspectRegistry(OPTIONS)
  crashRequest(clock, registry, 3)
  t.is(registry.check(FINGERPRINT).type, 'quarantined')
  t.deepEqual(registry.lift(START, performance.now()), [FINGERPRINT])
  t.is(registry.check(FINGERPRINT).type, 'clear')
  crashRequest(clock, registry, 2)
  t.is(registry.check(FINGERPRINT).type, 'suspect')
  crashRequest(clock, registry, 1)
  t.is(registry.check(FINGERPRINT).type, 'quarantined')
}))

test.serial('marks from before a lift that arrive after it do not count', runWithClock((t, clock) => {
  const [observer, other] = [new SuspectRegistry(OPTIONS), new SuspectRegistry(OPTIONS)]
  const crashed = crashRequest(clock, observer, 2)
  clock.tick(200)
  const quarantined = crashRequest(clock, observer, 1)
  t.is(quarantined.type, 'quarantined')
  other.lift(START, performance.now())
  clock.tick(5_000)
  other.applyMark(addElapsedTime(crashed, 5_300), 5_300)
  other.applyMark(addElapsedTime(quarantined, 5_000), 5_000)
  t.is(other.check(FINGERPRINT).type, 'clear')
  crashRequest(clock, other, 2)
  t.is(other.check(FINGERPRINT).type, 'suspect')
}))

// Guards against a quarantine that outlives its lift at a VM that starts and counts the crashes of old marks when it reads them.
test.serial('a quarantine that follows from marks read just before the lift is lifted', runWithClock((t, clock) => {
  const started = new SuspectRegistry(OPTIONS)
  const marks = [1, 2, 3].map(() => {
    clock.tick(100)
    const startedAtMs = performance.now() - 50
    return suspectMarkSchema.parse(new SuspectRegistry(OPTIONS).recordCrash(FINGERPRINT, `e@${startedAtMs}`, startedAtMs))
  })
  const liftedAtMs = performance.now()
  clock.tick(5_000)
  for (const mark of marks) started.applyMark(addElapsedTime(mark, 5_000), 5_000)
  t.is(started.check(FINGERPRINT).type, 'quarantined')
  started.lift(START, liftedAtMs)
  t.is(started.check(FINGERPRINT).type, 'clear')
}))

// Guards against a quarantine that holds although the lift leaves fewer crashes than it takes, at a VM that learns of the lift late.
test.serial('a quarantine that follows in part from crashes before the lift is lifted, and the others count', runWithClock((t, clock) => {
  const [registry, other] = [new SuspectRegistry(OPTIONS), new SuspectRegistry(OPTIONS)]
  crashRequest(clock, registry, 2)
  const liftedAtMs = performance.now()
  const quarantined = crashRequest(clock, registry, 1)
  t.is(registry.check(FINGERPRINT).type, 'quarantined')
  registry.lift(START, liftedAtMs)
  t.is(registry.check(FINGERPRINT).type, 'suspect')
  t.is(registry.countCrashes(FINGERPRINT), 1)
  other.lift(START, liftedAtMs)
  other.applyMark(withoutCrashes(quarantined))
  t.is(other.check(FINGERPRINT).type, 'clear')
  other.applyMark(quarantined)
  t.is(other.check(FINGERPRINT).type, 'suspect')
  t.is(other.countCrashes(FINGERPRINT), 1)
}))

test.serial('a quarantine that is newer than the lift holds', runWithClock((t, clock) => {
  const [observer, other] = [new SuspectRegistry(OPTIONS), new SuspectRegistry(OPTIONS)]
  const liftedAtMs = performance.now()
  const quarantined = crashRequest(clock, observer, 3)
  other.applyMark(quarantined)
  t.deepEqual(other.lift(START, liftedAtMs), [])
  t.is(other.check(FINGERPRINT).type, 'quarantined')
}))

test.serial('a lift concerns only requests whose fingerprint begins so', runWithClock((t, clock) => {
  const registry = new SuspectRegistry(OPTIONS)
  crashRequest(clock, registry, 3)
  t.deepEqual(registry.lift('e'.repeat(12), performance.now()), [])
  t.is(registry.check(FINGERPRINT).type, 'quarantined')
}))

test.serial('a lifted part is clear, with the parts that were lost with it, and its crashes count anew', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  crashPart(clock, detector, 3, ['companion', 'bad'])
  t.is(detector.check(['companion', 'bad']).type, 'quarantined')
  t.is(detector.lift('bad', performance.now()).quarantines.length, 1)
  t.is(detector.check(['companion', 'bad']).type, 'clear')
  t.deepEqual(detector.buildEvidence().reports, [])
  crashPart(clock, detector, 2, ['companion', 'bad'])
  t.is(detector.check(['companion', 'bad']).type, 'clear')
  crashPart(clock, detector, 1, ['companion', 'bad'])
  t.is(detector.check(['companion', 'bad']).type, 'quarantined')
}))

test.serial('part evidence from before a lift that arrives after it does not count', runWithClock((t, clock) => {
  const [observer, other] = [new CrashingPartDetector(), new CrashingPartDetector()]
  crashPart(clock, observer, 3)
  const evidence = observer.buildEvidence()
  clock.tick(10)
  other.lift('bad', performance.now())
  clock.tick(5_000)
  t.deepEqual(other.applyEvidence(evidence, 5_010), [])
  t.is(other.check(['first0', 'bad']).type, 'clear')
  crashPart(clock, other, 2)
  t.is(other.check(['first0', 'bad']).type, 'clear')
}))

test('a lift has a reason, a name and a target that the log can show', t => {
  const lift = { id: '1', target: { type: 'request', fingerprint: START }, by: 'ana', reason: 'fixed engine', atMs: 1 }
  t.true(quarantineLiftSchema.safeParse(lift).success)
  for (const invalid of [{ reason: '' }, { reason: '  ' }, { by: '' }, { target: { type: 'request', fingerprint: 'fff' } }, { target: { type: 'request', fingerprint: 'x'.repeat(12) } }, { target: { type: 'part', part: ' ' } }]) {
    t.false(quarantineLiftSchema.safeParse({ ...lift, ...invalid }).success, JSON.stringify(invalid))
  }
})
