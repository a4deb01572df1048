import test from 'ava'
import { CrashingPartDetector } from '../crashingPartDetector.ts'
import { DEFAULT_CRASHING_PART_OPTIONS } from '../crashingPartOptions.ts'
import { EndpointLifespans } from '../endpointLifespans.ts'
import { SuspectRegistry } from '../suspectRegistry.ts'
import { runWithClock } from './runWithClock.ts'

const OPTIONS = { maxCrashes: 3, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10, doubt: null }

const ENDPOINTS = ['e1', 'e2', 'e3']

/** A VM with a connection to each endpoint that brings bytes as long as the endpoint lives. */
class ObservingVm {
  readonly lifespans = new EndpointLifespans()
  readonly registry = new SuspectRegistry(OPTIONS, this.lifespans)
  readonly #openedAtMs = performance.now()

  receive (endpoints = ENDPOINTS): void {
    for (const endpoint of endpoints) this.lifespans.recordReceived(endpoint, this.#openedAtMs)
  }

  lose (endpoint: string): void {
    this.registry.recordCrash('f', endpoint, performance.now() - 100)
  }
}

// Guards against endpoints that live on and count as crashed.
test.serial('crashes of endpoints that are seen to have lived on do not count, and peers are told', t => runWithClock(tick => {
  const [vm, peer] = [new ObservingVm(), new SuspectRegistry(OPTIONS)]
  tick(5_000)
  for (const endpoint of ENDPOINTS) vm.lose(endpoint)
  for (const mark of vm.registry.listMarks()) peer.applyMark(mark)
  t.is(peer.check('f').type, 'quarantined')
  tick(400)
  vm.receive()
  for (const mark of vm.registry.takeSurvived()) peer.applyMark(mark)
  t.is(vm.registry.check('f').type, 'clear')
  t.is(peer.check('f').type, 'clear')
  t.deepEqual(vm.registry.takeSurvived(), [])
}))

// Guards against a crash that is taken for survived as bytes arrived shortly before or after it.
test.serial('crashes of endpoints that were heard last when they crashed count', t => runWithClock(tick => {
  const vm = new ObservingVm()
  tick(5_000)
  vm.receive()
  for (const endpoint of ENDPOINTS) vm.lose(endpoint)
  tick(20)
  vm.receive()
  tick(5_000)
  t.deepEqual(vm.registry.takeSurvived(), [])
  t.is(vm.registry.check('f').type, 'quarantined')
}))

// Guards against crashes that a peer reports by a wrong clock and that are taken for survived.
test.serial('a crash that a peer reports counts unless the endpoint lived until the report arrived', t => runWithClock(tick => {
  const [vm, other] = [new ObservingVm(), new ObservingVm()]
  tick(5_000)
  vm.receive()
  for (const endpoint of ENDPOINTS) other.lose(endpoint)
  tick(100)
  for (const mark of other.registry.listMarks()) vm.registry.applyMark(mark)
  t.is(vm.registry.check('f').type, 'quarantined')
  tick(200)
  vm.receive(ENDPOINTS.slice(0, 1))
  t.is(vm.registry.check('f').type, 'suspect')
  t.is(vm.registry.countCrashes('f'), 2)
}))

// Guards against a peer that keeps a quarantine because it does not know what this VM has seen.
test.serial('a success is announced although the crashes of a peer do not count here', t => runWithClock(tick => {
  const [vm, other] = [new ObservingVm(), new ObservingVm()]
  tick(5_000)
  for (const endpoint of ENDPOINTS) other.lose(endpoint)
  for (const mark of other.registry.listMarks()) vm.registry.applyMark(mark)
  tick(400)
  vm.receive()
  t.is(vm.registry.check('f').type, 'clear')
  const cleared = vm.registry.recordSuccess('f')
  t.is(cleared?.type, 'cleared')
  other.registry.applyMark(cleared!)
  t.is(other.registry.check('f').type, 'clear')
}))

/** Loses attempts with these parts, one after the other, while others are served. */
function loseParts (tick: (ms: number) => void, detector: CrashingPartDetector, count: number): void {
  for (let n = 0; n < count; n++) {
    tick(200)
    for (let i = 0; i < 10; i++) detector.recordServed([`other${i}`])
    const startedAtMs = performance.now()
    tick(50)
    detector.recordCrash(['shared', 'lost'], ENDPOINTS[n % ENDPOINTS.length], startedAtMs)
  }
}

/** Starts two VMs; the first one loses attempts with two parts until it quarantines them. */
function quarantineParts (tick: (ms: number) => void): { vm: ObservingVm, detector: CrashingPartDetector, peer: CrashingPartDetector } {
  const vm = new ObservingVm()
  const detector = new CrashingPartDetector(DEFAULT_CRASHING_PART_OPTIONS, vm.lifespans)
  const peer = new CrashingPartDetector()
  tick(5_000)
  vm.receive()
  loseParts(tick, detector, 3)
  return { vm, detector, peer }
}

// Guards against prompt parts that stay quarantined although the endpoints have lived on, here and at peers.
test.serial('the quarantine of parts ends at all VMs when their endpoints are seen to have lived on', t => runWithClock(tick => {
  const { vm, detector, peer } = quarantineParts(tick)
  t.is(detector.check(['shared', 'lost']).type, 'quarantined')
  peer.applyEvidence(detector.buildEvidence(), 0)
  t.is(peer.check(['shared', 'lost']).type, 'quarantined')
  tick(300)
  vm.receive()
  t.true(detector.dropSurvived().isAnnounced)
  t.is(detector.check(['shared', 'lost']).type, 'clear')
  peer.applyEvidence(detector.buildEvidence(), 0)
  t.is(peer.check(['shared', 'lost']).type, 'clear')
  t.false(detector.dropSurvived().isAnnounced)
}))

test.serial('parts that were lost with endpoints that ended stay quarantined', t => runWithClock(tick => {
  const vm = new ObservingVm()
  const detector = new CrashingPartDetector(DEFAULT_CRASHING_PART_OPTIONS, vm.lifespans)
  tick(5_000)
  vm.receive()
  loseParts(tick, detector, 3)
  tick(2_000)
  t.false(detector.dropSurvived().isAnnounced)
  t.is(detector.check(['shared', 'lost']).type, 'quarantined')
}))

// Guards against a quarantine that stays at the other VMs because the one that found it is gone.
test.serial('the quarantine of parts ends at a VM that learnt of it when it sees that an endpoint has lived on', t => runWithClock(tick => {
  const [finder, vm] = [new ObservingVm(), new ObservingVm()]
  const detector = new CrashingPartDetector(DEFAULT_CRASHING_PART_OPTIONS, finder.lifespans)
  const learning = new CrashingPartDetector(DEFAULT_CRASHING_PART_OPTIONS, vm.lifespans)
  tick(5_000)
  vm.receive()
  loseParts(tick, detector, 3)
  const evidence = detector.buildEvidence()
  tick(DEFAULT_CRASHING_PART_OPTIONS.reportMs)
  learning.applyEvidence(evidence, DEFAULT_CRASHING_PART_OPTIONS.reportMs)
  t.is(learning.check(['shared', 'lost']).type, 'quarantined')
  t.deepEqual(new Set(learning.listOpen().map(({ crash }) => crash.endpoint)), new Set(ENDPOINTS))
  tick(300)
  vm.receive(['e2'])
  learning.dropSurvived()
  t.is(learning.check(['shared', 'lost']).type, 'clear')
  // Guards against the row of the VM that is gone, which still tells of it.
  tick(100)
  learning.applyEvidence(evidence, DEFAULT_CRASHING_PART_OPTIONS.reportMs + 400)
  t.is(learning.check(['shared', 'lost']).type, 'clear')
}))

// Guards against a quarantine that a VM withdraws and takes up again from one that has not heard of it.
test.serial('a quarantine of parts that was withdrawn is not learnt from another VM', t => runWithClock(tick => {
  const { vm, detector, peer } = quarantineParts(tick)
  peer.applyEvidence(detector.buildEvidence(), 0)
  tick(300)
  vm.receive()
  detector.dropSurvived()
  detector.applyEvidence(peer.buildEvidence(), 0)
  t.is(detector.check(['shared', 'lost']).type, 'clear')
}))
