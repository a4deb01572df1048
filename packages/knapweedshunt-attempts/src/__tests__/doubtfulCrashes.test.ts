import test from 'ava'
import { EndpointLifespans } from '../endpointLifespans.ts'
import { RecentLosses } from '../recentLosses.ts'
import { SuspectRegistry } from '../suspectRegistry.ts'
import { runWithClock } from './runWithClock.ts'

const DOUBT = { minSolitary: 2, holdsMs: [3_000, 3_000, 30_000], holdSpreadMs: 1_500, probeMs: 2_000 }

const OPTIONS = { maxCrashes: 3, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 100, doubt: DOUBT }

const HOLD_MS = DOUBT.holdsMs[0] + DOUBT.holdSpreadMs

const createRegistry = (endpointCount = 4) => new SuspectRegistry(OPTIONS, new EndpointLifespans(), new RecentLosses(() => endpointCount))

/** The request is lost with an endpoint, and others with as many other endpoints at the same time. */
function crash (registry: SuspectRegistry, n: number, otherCount: number): void {
  const startedAtMs = performance.now() - 50
  registry.recordCrash('f', `e${n}`, startedAtMs)
  for (let i = 0; i < otherCount; i++) registry.recordCrash(`other${i}`, `o${i}-${n}`, startedAtMs)
}

function crashTogether (tick: (ms: number) => void, registry: SuspectRegistry, count: number): void {
  for (let n = 0; n < count; n++) {
    tick(1_500)
    crash(registry, n, 3)
  }
}

// Guards against requests that stay refused because they were under way by chance when endpoints ended together.
test.serial('a request whose crashes came with those of other endpoints is sent again after a while, one attempt at a time', t => runWithClock(tick => {
  const registry = createRegistry()
  tick(1_000)
  crashTogether(tick, registry, 3)
  const state = registry.check('f')
  t.true(state.type === 'quarantined' && state.retryAfterMs <= HOLD_MS)
  tick(HOLD_MS)
  t.is(registry.check('f').type, 'suspect')
  registry.recordSent('f')
  t.is(registry.check('f').type, 'quarantined')
  registry.recordSuccess('f')
  t.is(registry.check('f').type, 'clear')
}))

test.serial('the next attempt is sent if it is not known how one has ended', t => runWithClock(tick => {
  const registry = createRegistry()
  tick(1_000)
  crashTogether(tick, registry, 3)
  tick(HOLD_MS)
  registry.recordSent('f')
  tick(DOUBT.probeMs)
  t.is(registry.check('f').type, 'suspect')
}))

// Guards against a crashing request that reaches endpoint after endpoint while others end, too.
test.serial('a request that crashes endpoints reaches three more at most, if others end at the same time', t => runWithClock(tick => {
  const registry = createRegistry()
  tick(1_000)
  crashTogether(tick, registry, 3)
  for (const [i, holdMs] of DOUBT.holdsMs.entries()) {
    tick(holdMs + DOUBT.holdSpreadMs)
    t.is(registry.check('f').type, 'suspect')
    registry.recordSent('f')
    crash(registry, 3 + i, 3)
  }
  const state = registry.check('f')
  t.true(state.type === 'quarantined' && state.retryAfterMs > 500_000)
}))

// Guards against doubt where the request alone ends endpoints.
test.serial('crashes that no others coincide with quarantine the request', t => runWithClock(tick => {
  const registry = createRegistry()
  tick(1_000)
  for (const [n, otherCount] of [[0, 3], [1, 0], [2, 1]] as const) {
    tick(1_500)
    crash(registry, n, otherCount)
  }
  const state = registry.check('f')
  t.true(state.type === 'quarantined' && state.retryAfterMs > 500_000)
}))

// Guards against copies of a crashing request that are taken for the crashes of others.
test.serial('endpoints that copies of the request crash at the same time are no others', t => runWithClock(tick => {
  const registry = createRegistry()
  tick(1_000)
  for (let n = 0; n < 4; n++) registry.recordCrash('f', `e${n}`, performance.now() - 50)
  const state = registry.check('f')
  t.true(state.type === 'quarantined' && state.retryAfterMs > 500_000)
}))

test.serial('a VM knows of other endpoints from the marks of its peers', t => runWithClock(tick => {
  const [registry, peer] = [createRegistry(), createRegistry()]
  tick(1_000)
  for (let n = 0; n < 3; n++) {
    tick(1_500)
    crash(registry, n, 0)
    for (let i = 0; i < 3; i++) registry.applyMark(peer.recordCrash(`other${i}`, `o${i}-${n}`, performance.now() - 50))
  }
  tick(HOLD_MS)
  t.is(registry.check('f').type, 'suspect')
}))

// Guards against several crashing requests that excuse each other.
test.serial('of many endpoints more must be lost at the same time', t => runWithClock(tick => {
  const registry = createRegistry(16)
  tick(1_000)
  crashTogether(tick, registry, 3)
  const state = registry.check('f')
  t.true(state.type === 'quarantined' && state.retryAfterMs > 500_000)
}))
