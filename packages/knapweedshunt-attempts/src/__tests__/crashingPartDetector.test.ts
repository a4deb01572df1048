import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { CrashingPartDetector } from '../crashingPartDetector.ts'
import type { PartEvidence } from '../partEvidence.ts'
import { partEvidenceSchema } from '../partEvidence.ts'

/** Time from the start of an attempt to the crash of its endpoint, in milliseconds. */
const RUN_MS = 100

/** Pause between two crashes, in milliseconds. */
const PAUSE_MS = 500

/** Runs a test on the fake clock. */
function runWithClock (run: (t: ExecutionContext, clock: Clock) => void): (t: ExecutionContext) => void {
  return t => {
    const clock = install()
    try {
      run(t, clock)
    } finally {
      clock.uninstall()
    }
  }
}

/** An attempt with these parts starts and ends with its endpoint, each time another one; sound requests are served before. */
function crash (clock: Clock, detector: CrashingPartDetector, parts: string[], servedBefore: string[][] = []): void {
  clock.tick(PAUSE_MS)
  for (const served of servedBefore) detector.recordServed(served)
  const startedAtMs = performance.now()
  clock.tick(RUN_MS)
  detector.recordCrash(parts, `e@${startedAtMs}`, startedAtMs)
}

const OTHERS = Array.from({ length: 10 }, (_, i) => [`first${i % 2}`, `second${i}`])

const copy = (evidence: PartEvidence): PartEvidence => partEvidenceSchema.parse(JSON.parse(JSON.stringify(evidence)))

test.serial('a part that is lost three times is quarantined, at any depth and beside any others', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (const parts of [['first0', 'bad'], ['bad', 'x1'], ['first1', 'x2', 'bad']]) {
    t.is(detector.check(['bad']).type, 'clear')
    crash(clock, detector, parts, OTHERS)
  }
  t.is(detector.check(['x3', 'bad', 'x4']).type, 'quarantined')
  t.is(detector.check(['first0', 'second1']).type, 'clear')
  t.is(detector.check(['x1']).type, 'clear')
}))

test.serial('a part that was served since its crashes is clear', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (let n = 0; n < 12; n++) crash(clock, detector, ['first0', `rare${n % 6}`], [...OTHERS, [`rare${n % 6}`]])
  t.is(detector.quarantineCount, 0)
}))

test.serial('of parts that are always lost together, one that is served alone is clear', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (let n = 0; n < 3; n++) crash(clock, detector, ['first0', 'companion', 'bad'], OTHERS)
  t.is(detector.check(['first0', 'companion', 'bad']).type, 'quarantined')
  t.is(detector.check(['first0', 'companion']).type, 'clear')
  t.true(detector.recordServed(['first0', 'companion']).isAnnounced)
  t.is(detector.check(['bad']).type, 'quarantined')
}))

test.serial('endpoints that fail at the same time count as one crash', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (const served of OTHERS) detector.recordServed(served)
  const startedAtMs = performance.now()
  clock.tick(RUN_MS)
  for (let n = 0; n < 8; n++) detector.recordCrash(['rare'], `e${n}`, startedAtMs)
  t.is(detector.check(['rare']).type, 'clear')
}))

test.serial('a part is not quarantined while attempts without it are lost as often', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (let n = 0; n < 5; n++) {
    crash(clock, detector, ['rare'])
    for (let i = 0; i < 4; i++) crash(clock, detector, [`other${n}${i}`])
  }
  t.is(detector.check(['rare']).type, 'clear')
}))

test.serial('without any other request a part is quarantined later and for a short time', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (let n = 0; n < 3; n++) crash(clock, detector, ['bad'])
  t.is(detector.check(['bad']).type, 'clear')
  crash(clock, detector, ['bad'])
  t.is(detector.check(['bad']).type, 'quarantined')
  clock.tick(30_000)
  t.is(detector.check(['bad']).type, 'clear')
}))

test.serial('crashes at several VMs add up, and those of one VM are not counted twice', runWithClock((t, clock) => {
  const vms = [new CrashingPartDetector(), new CrashingPartDetector(), new CrashingPartDetector()]
  for (const vm of vms) for (const served of OTHERS) vm.recordServed(served)
  for (const [i, vm] of vms.entries()) {
    crash(clock, vm, [`x${i}`, 'bad'], OTHERS)
    const evidence = copy(vm.buildEvidence())
    for (const other of vms) if (other !== vm) for (let n = 0; n < 2; n++) other.applyEvidence(evidence, 20)
    for (const each of vms) t.is(each.check(['bad']).type, i === 2 ? 'quarantined' : 'clear')
  }
}))

test.serial('a VM that served a part clears it at the others', runWithClock((t, clock) => {
  const [reporter, server] = [new CrashingPartDetector(), new CrashingPartDetector()]
  for (let n = 0; n < 2; n++) crash(clock, reporter, ['rare'], OTHERS)
  server.applyEvidence(copy(reporter.buildEvidence()), 0)
  t.true(server.recordServed(['rare']).isAnnounced)
  const clearing = copy(server.buildEvidence())
  const late = new CrashingPartDetector()
  for (const vm of [reporter, late]) vm.applyEvidence(clearing, 0)
  late.applyEvidence(copy(reporter.buildEvidence()), 0)
  for (const vm of [reporter, late]) {
    crash(clock, vm, ['rare'], OTHERS)
    t.is(vm.check(['rare']).type, 'clear')
  }
}))

test.serial('a quarantine passes to a VM that starts, for the time that is left', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (let n = 0; n < 3; n++) crash(clock, detector, ['bad'], OTHERS)
  const evidence = copy(detector.buildEvidence())
  clock.tick(500_000)
  const started = new CrashingPartDetector()
  started.applyEvidence(evidence, 500_000)
  t.is(started.check(['bad']).type, 'quarantined')
  clock.tick(100_000)
  t.is(started.check(['bad']).type, 'clear')
}))

test.serial('reports, quarantines and clearings stay within their limits', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (let n = 0; n < 400; n++) detector.recordCrash(Array.from({ length: 20 }, (_, i) => `p${n}-${i}`), `e${n}`, performance.now())
  for (let n = 0; n < 400; n++) detector.recordServed([`p${n}-1`])
  clock.tick(1)
  t.true(JSON.stringify(detector.buildEvidence()).length < 65_536)
}))

// Guards against a VM that starts, reads old reports of a part in frequent use and refuses all requests with it.
test.serial('a VM that starts does not suspect a part that was served since its crashes', runWithClock((t, clock) => {
  const reporter = new CrashingPartDetector()
  for (let n = 0; n < 6; n++) {
    crash(clock, reporter, ['first0', `x${n}`], OTHERS)
    t.true(reporter.recordServed(['first0']).isAnnounced)
  }
  const started = new CrashingPartDetector()
  started.applyEvidence(copy(reporter.buildEvidence()), 0)
  t.is(started.check(['first0', 'second1']).type, 'clear')
}))

// Guards against parts being quarantined, and sound requests refused, because endpoints reset connections without crashing.
test.serial('endpoints that are seen alive after they reset connections give doubtful evidence', runWithClock((t, clock) => {
  const detector = new CrashingPartDetector()
  for (let n = 0; n < 5; n++) {
    crash(clock, detector, ['rare'], OTHERS)
    detector.recordAlive(`e@${performance.now() - RUN_MS}`, performance.now() + 1)
  }
  t.is(detector.check(['rare']).type, 'clear')
  crash(clock, detector, ['rare'], OTHERS)
  t.is(detector.check(['rare']).type, 'quarantined')
}))

// Guards against a VM that starts and takes old reports of a part, whose clearing did not reach the store, for evidence.
test.serial('reports from before the start of a VM are no evidence for it', runWithClock((t, clock) => {
  const reporter = new CrashingPartDetector()
  for (let n = 0; n < 8; n++) crash(clock, reporter, [`x${n}`, 'first0'], n === 0 ? OTHERS : [['second']])
  const evidence = { ...copy(reporter.buildEvidence()), quarantines: [] }
  clock.tick(1)
  const started = new CrashingPartDetector()
  for (const served of OTHERS) started.recordServed(served.slice(1))
  started.applyEvidence(evidence, 1)
  t.is(started.check(['first0']).type, 'clear')
}))

// Guards against a part that stays quarantined at one VM although another, which did not count the crashes, serves requests with it.
test.serial('a request served at one VM ends the quarantine that another VM found', runWithClock((t, clock) => {
  const quarantining = new CrashingPartDetector()
  const serving = new CrashingPartDetector()
  for (let n = 0; n < 3; n++) crash(clock, quarantining, ['rare'], OTHERS)
  t.is(quarantining.check(['rare']).type, 'quarantined')
  serving.recordServed(['rare'])
  serving.applyEvidence(copy(quarantining.buildEvidence()), 0)
  t.is(serving.check(['rare']).type, 'clear')
  clock.tick(PAUSE_MS)
  t.true(serving.recordServed(['rare']).isAnnounced)
  quarantining.applyEvidence(copy(serving.buildEvidence()), 0)
  t.is(quarantining.check(['rare']).type, 'clear')
}))
