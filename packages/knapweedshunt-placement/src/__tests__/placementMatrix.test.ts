import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import type { PrefixLevel } from 'knapweedshunt-types'
import { findMaxKeyShare } from '../objectiveWeights.ts'
import { Placement } from '../placement.ts'
import { DEFAULT_PLACEMENT_OPTIONS } from '../placementOptions.ts'
import type { PlacedDecision } from '../placementTypes.ts'
import { buildSnapshot, createEndpoints, buildRequestLevels, placeOn } from './placementHarness.ts'
import type { SimulatedEndpoint } from './placementHarness.ts'

/** A request in flight on its home endpoint, and everything that a fault may affect. */
interface Scenario {
  placement: Placement
  endpoints: SimulatedEndpoint[]
  home: SimulatedEndpoint
  first: PlacedDecision
  levels: PrefixLevel[]
  /** Waits `ms`, then sends a snapshot of the current state of all endpoints. */
  publishSnapshot (ms?: number): void
  placeAgain (excluded?: string[]): PlacedDecision
  events (entries: Array<[n: number, type: 'stored' | 'evicted', level?: number]>): void
}

interface Row {
  fault: string
  step: 'chosen' | 'sent' | 'finished'
  injectFault (scenario: Scenario): void
  check (scenario: Scenario): unknown
  expected: unknown
}

const restartHome = (scenario: Scenario) => { scenario.home.incarnation += '-next' }
const isPlacedAtHome = (scenario: Scenario) => scenario.placeAgain().endpoint === scenario.home.name
const countCachedAtHome = (scenario: Scenario) => scenario.placeAgain(scenario.endpoints.filter(one => one !== scenario.home).map(one => one.name)).expectedCachedTokens
const PROMPT_TOKENS = 2_000

const ROWS: Row[] = [
  { fault: 'none', step: 'finished', injectFault: () => {}, check: countCachedAtHome, expected: PROMPT_TOKENS },
  { fault: 'none', step: 'finished', injectFault: () => {}, check: isPlacedAtHome, expected: true },
  { fault: 'crash and restart with an empty cache', step: 'chosen', injectFault: scenario => { restartHome(scenario); scenario.publishSnapshot() }, check: countCachedAtHome, expected: 0 },
  { fault: 'crash and restart with an empty cache', step: 'sent', injectFault: scenario => { restartHome(scenario); scenario.publishSnapshot() }, check: countCachedAtHome, expected: 0 },
  { fault: 'crash and restart with an empty cache', step: 'sent', injectFault: scenario => { restartHome(scenario); scenario.publishSnapshot() }, check: scenario => scenario.placement.countInFlight(scenario.home.name), expected: 0 },
  { fault: 'crash and restart with an empty cache', step: 'finished', injectFault: scenario => { restartHome(scenario); scenario.publishSnapshot() }, check: countCachedAtHome, expected: 0 },
  { fault: 'crash and restart with an empty cache, then an old view', step: 'finished', injectFault: scenario => { const old = buildSnapshot(scenario.endpoints, 1); restartHome(scenario); scenario.publishSnapshot(); scenario.placement.handleEvent({ type: 'snapshot', snapshot: old }) }, check: scenario => scenario.placeAgain().incarnation === scenario.first.incarnation && scenario.placeAgain().endpoint === scenario.home.name, expected: false },
  { fault: 'crash first seen in a response', step: 'sent', injectFault: ({ placement }) => placement.handleEvent({ type: 'answered', attempt: 'one', incarnation: 'next', weightsVersion: 'w1' }), check: countCachedAtHome, expected: 0 },
  { fault: 'dead', step: 'finished', injectFault: scenario => { scenario.home.state = 'dead'; scenario.publishSnapshot() }, check: isPlacedAtHome, expected: false },
  { fault: 'leaving', step: 'chosen', injectFault: scenario => { scenario.home.state = 'leaving'; scenario.publishSnapshot() }, check: isPlacedAtHome, expected: false },
  { fault: 'leaving, then a late live view', step: 'sent', injectFault: scenario => { scenario.home.state = 'leaving'; scenario.publishSnapshot(); scenario.home.state = 'live'; scenario.publishSnapshot() }, check: isPlacedAtHome, expected: false },
  { fault: 'leaving, then another incarnation', step: 'finished', injectFault: scenario => { scenario.home.state = 'leaving'; scenario.publishSnapshot(); scenario.home.state = 'live'; restartHome(scenario); scenario.publishSnapshot() }, check: isPlacedAtHome, expected: true },
  { fault: 'engine drains', step: 'sent', injectFault: scenario => { scenario.home.role = 'drain'; scenario.publishSnapshot() }, check: isPlacedAtHome, expected: false },
  { fault: 'engine drained, then serving again', step: 'sent', injectFault: scenario => { scenario.home.role = 'drain'; scenario.publishSnapshot(); scenario.home.role = 'serve'; scenario.publishSnapshot() }, check: isPlacedAtHome, expected: true },
  { fault: 'adapter changed', step: 'finished', injectFault: scenario => { scenario.home.adapter = 'other'; scenario.publishSnapshot() }, check: countCachedAtHome, expected: 0 },
  { fault: 'all leaving', step: 'finished', injectFault: scenario => { for (const one of scenario.endpoints) one.state = 'leaving'; scenario.publishSnapshot() }, check: scenario => scenario.placement.place({ pool: 'language', levels: scenario.levels, excluded: [] }), expected: { type: 'unplaceable', reason: 'no-endpoint' } },
  { fault: 'load high', step: 'finished', injectFault: scenario => { scenario.home.queuedTokens = 60_000; scenario.publishSnapshot() }, check: isPlacedAtHome, expected: false },
  { fault: 'load report stale', step: 'finished', injectFault: (scenario) => { scenario.home.queuedTokens = 60_000; scenario.publishSnapshot(); scenario.home.queuedTokens = 0; scenario.publishSnapshot(9_000) }, check: isPlacedAtHome, expected: true },
  { fault: 'load report late', step: 'finished', injectFault: scenario => { const late = buildSnapshot(scenario.endpoints.map(one => ({ ...one, queuedTokens: 60_000 })), performance.now()); scenario.publishSnapshot(1_000); scenario.placement.handleEvent({ type: 'snapshot', snapshot: late }) }, check: isPlacedAtHome, expected: true },
  { fault: 'cache event lost', step: 'finished', injectFault: scenario => { scenario.events([[1, 'evicted', 0], [3, 'evicted', 1]]) }, check: countCachedAtHome, expected: PROMPT_TOKENS / 2 },
  { fault: 'cache event', step: 'finished', injectFault: scenario => scenario.events([[1, 'evicted']]), check: countCachedAtHome, expected: 0 },
  { fault: 'cache event duplicated', step: 'finished', injectFault: scenario => scenario.events([[1, 'evicted'], [2, 'stored'], [1, 'evicted']]), check: countCachedAtHome, expected: PROMPT_TOKENS },
  { fault: 'cache event reordered', step: 'finished', injectFault: scenario => scenario.events([[2, 'evicted'], [1, 'stored']]), check: countCachedAtHome, expected: 0 },
  { fault: 'cache event of an earlier incarnation', step: 'finished', injectFault: scenario => { restartHome(scenario); scenario.publishSnapshot(); scenario.events([[1, 'stored']]) }, check: countCachedAtHome, expected: 0 },
  { fault: 'weights changed', step: 'sent', injectFault: scenario => { scenario.home.weightsVersion = 'w2'; scenario.publishSnapshot() }, check: countCachedAtHome, expected: 0 },
  { fault: 'weights changed', step: 'finished', injectFault: scenario => { for (const one of scenario.endpoints) one.weightsVersion = 'w2'; scenario.placement.handleEvent({ type: 'snapshot', snapshot: buildSnapshot(scenario.endpoints, performance.now() + 1, 2, 'w2') }) }, check: countCachedAtHome, expected: 0 },
  { fault: 'attempt failed', step: 'sent', injectFault: ({ placement }) => placement.handleEvent({ type: 'finished', attempt: 'one', cachedTokens: null }), check: ({ placement }) => placement.inFlight, expected: 0 },
  { fault: 'end event lost', step: 'sent', injectFault: scenario => scenario.publishSnapshot(700_000), check: ({ placement }) => placement.inFlight, expected: 0 },
  { fault: 'start event after the end event', step: 'finished', injectFault: ({ placement, home }) => placement.handleEvent({ type: 'started', attempt: 'one', endpoint: home.name, tokens: 1 }), check: ({ placement }) => placement.inFlight, expected: 0 },
  { fault: 'peer demand', step: 'finished', injectFault: scenario => sendPeerDemand(scenario), check: countSharingEndpoints, expected: 4 },
  { fault: 'peer demand late and duplicated', step: 'finished', injectFault: scenario => { sendPeerDemand(scenario); sendPeerDemand(scenario, 1, 100); sendPeerDemand(scenario, 0, 100) }, check: countSharingEndpoints, expected: 4 },
  { fault: 'peer silent', step: 'finished', injectFault: scenario => { sendPeerDemand(scenario); scenario.publishSnapshot(16_000) }, check: countSharingEndpoints, expected: 1 }
]

test.serial('placement: fault matrix', t => {
  for (const row of ROWS) {
    const clock = install()
    try {
      const scenario = createScenario(row.step, ms => clock.tick(ms))
      row.injectFault(scenario)
      t.deepEqual(row.check(scenario), row.expected, `${row.fault} when ${row.step}`)
    } finally {
      clock.uninstall()
    }
  }
})

function createScenario (step: Row['step'], wait: (ms: number) => void): Scenario {
  const endpoints = createEndpoints(5)
  const placement = new Placement('a')
  const levels = buildRequestLevels('hotel', ['r', 'c'])
  const publishSnapshot = (ms = 1) => {
    wait(ms)
    placement.handleEvent({ type: 'snapshot', snapshot: buildSnapshot(endpoints, performance.now()) })
  }
  publishSnapshot()
  const first = placeOn(placement, { levels })
  const home = endpoints.find(one => one.name === first.endpoint) as SimulatedEndpoint
  if (step !== 'chosen') placement.handleEvent({ type: 'started', attempt: 'one', endpoint: home.name, tokens: PROMPT_TOKENS, levels, decision: first })
  if (step === 'finished') placement.handleEvent({ type: 'finished', attempt: 'one', cachedTokens: 0 })
  wait(1_000)
  return {
    placement,
    endpoints,
    home,
    first,
    levels,
    publishSnapshot,
    placeAgain: (excluded = []) => placeOn(placement, { levels, excluded }),
    events: entries => placement.handleEvent({ type: 'cacheEvents', endpoint: home.name, incarnation: first.incarnation, weightsVersion: 'w1', lagMs: 10, entries: entries.map(([n, type, level = 0]) => ({ n, type, key: levels[level].key })) })
  }
}

function sendPeerDemand ({ placement, levels }: Scenario, n = 1, tokensPerS = 3 * findMaxKeyShare(DEFAULT_PLACEMENT_OPTIONS.objectives, 'tail') * DEFAULT_PLACEMENT_OPTIONS.prefillTokensPerS): void {
  placement.handleEvent({ type: 'peerDemand', vm: 'peer', incarnation: 'p', dataCentre: 'a', n, demands: [{ key: levels[0].key.slice(0, 16), tokensPerS }] })
}

/** Counts the endpoints that are ranked first for requests that share only the outermost level. */
function countSharingEndpoints ({ placement }: Scenario): number {
  const texts = Array.from({ length: 40 }, (_, i) => ['r', String.fromCharCode(200 + i)])
  return new Set(texts.map(parts => placement.rank({ pool: 'language', levels: buildRequestLevels('hotel', parts) })[0])).size
}
