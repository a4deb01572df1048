import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import type { PrefixLevel } from 'knapweedshunt-types'
import { findCarriedShare } from '../objectiveWeights.ts'
import { Placement } from '../placement.ts'
import { DEFAULT_PLACEMENT_OPTIONS } from '../placementOptions.ts'
import type { PlacedDecision } from '../placementTypes.ts'
import { buildSnapshot, createEndpoints, cutRequest, placeOn } from './placementHarness.ts'
import type { TrueEndpoint } from './placementHarness.ts'

/** A request that is running on its home, and everything a fault may touch. */
interface Scene {
  placement: Placement
  endpoints: TrueEndpoint[]
  home: TrueEndpoint
  first: PlacedDecision
  levels: PrefixLevel[]
  /** Hands over the present truth, `ms` later. */
  tell (ms?: number): void
  again (excluded?: string[]): PlacedDecision
  events (entries: Array<[n: number, type: 'stored' | 'evicted', level?: number]>): void
}

interface Row {
  fault: string
  step: 'chosen' | 'sent' | 'finished'
  bring (scene: Scene): void
  check (scene: Scene): unknown
  want: unknown
}

const restart = (scene: Scene) => { scene.home.incarnation += '-next' }
const isHome = (scene: Scene) => scene.again().endpoint === scene.home.name
const cachedAtHome = (scene: Scene) => scene.again(scene.endpoints.filter(one => one !== scene.home).map(one => one.name)).expectedCachedTokens
const ALL = 2_000

const ROWS: Row[] = [
  { fault: 'none', step: 'finished', bring: () => {}, check: cachedAtHome, want: ALL },
  { fault: 'none', step: 'finished', bring: () => {}, check: isHome, want: true },
  { fault: 'crash, empty return', step: 'chosen', bring: scene => { restart(scene); scene.tell() }, check: cachedAtHome, want: 0 },
  { fault: 'crash, empty return', step: 'sent', bring: scene => { restart(scene); scene.tell() }, check: cachedAtHome, want: 0 },
  { fault: 'crash, empty return', step: 'sent', bring: scene => { restart(scene); scene.tell() }, check: scene => scene.placement.countInFlight(scene.home.name), want: 0 },
  { fault: 'crash, empty return', step: 'finished', bring: scene => { restart(scene); scene.tell() }, check: cachedAtHome, want: 0 },
  { fault: 'crash, empty return, then an old view', step: 'finished', bring: scene => { const old = buildSnapshot(scene.endpoints, 1); restart(scene); scene.tell(); scene.placement.take({ type: 'snapshot', snapshot: old }) }, check: scene => scene.again().incarnation === scene.first.incarnation && scene.again().endpoint === scene.home.name, want: false },
  { fault: 'crash seen in the answer first', step: 'sent', bring: ({ placement }) => placement.take({ type: 'answered', attempt: 'one', incarnation: 'next', weightsVersion: 'w1' }), check: cachedAtHome, want: 0 },
  { fault: 'dead', step: 'finished', bring: scene => { scene.home.state = 'dead'; scene.tell() }, check: isHome, want: false },
  { fault: 'leaving', step: 'chosen', bring: scene => { scene.home.state = 'leaving'; scene.tell() }, check: isHome, want: false },
  { fault: 'leaving, then a late live view', step: 'sent', bring: scene => { scene.home.state = 'leaving'; scene.tell(); scene.home.state = 'live'; scene.tell() }, check: isHome, want: false },
  { fault: 'leaving, then another incarnation', step: 'finished', bring: scene => { scene.home.state = 'leaving'; scene.tell(); scene.home.state = 'live'; restart(scene); scene.tell() }, check: isHome, want: true },
  { fault: 'engine drains', step: 'sent', bring: scene => { scene.home.role = 'drain'; scene.tell() }, check: isHome, want: false },
  { fault: 'engine drained, serves again', step: 'sent', bring: scene => { scene.home.role = 'drain'; scene.tell(); scene.home.role = 'serve'; scene.tell() }, check: isHome, want: true },
  { fault: 'adapter changed', step: 'finished', bring: scene => { scene.home.adapter = 'other'; scene.tell() }, check: cachedAtHome, want: 0 },
  { fault: 'all leaving', step: 'finished', bring: scene => { for (const one of scene.endpoints) one.state = 'leaving'; scene.tell() }, check: scene => scene.placement.place({ pool: 'language', levels: scene.levels, excluded: [] }), want: { type: 'unplaceable', reason: 'no-endpoint' } },
  { fault: 'load high', step: 'finished', bring: scene => { scene.home.queuedTokens = 60_000; scene.tell() }, check: isHome, want: false },
  { fault: 'load report stale', step: 'finished', bring: (scene) => { scene.home.queuedTokens = 60_000; scene.tell(); scene.home.queuedTokens = 0; scene.tell(9_000) }, check: isHome, want: true },
  { fault: 'load report late', step: 'finished', bring: scene => { const late = buildSnapshot(scene.endpoints.map(one => ({ ...one, queuedTokens: 60_000 })), performance.now()); scene.tell(1_000); scene.placement.take({ type: 'snapshot', snapshot: late }) }, check: isHome, want: true },
  { fault: 'cache event lost', step: 'finished', bring: scene => { scene.events([[1, 'evicted', 0], [3, 'evicted', 1]]) }, check: cachedAtHome, want: ALL / 2 },
  { fault: 'cache event', step: 'finished', bring: scene => scene.events([[1, 'evicted']]), check: cachedAtHome, want: 0 },
  { fault: 'cache event doubled', step: 'finished', bring: scene => scene.events([[1, 'evicted'], [2, 'stored'], [1, 'evicted']]), check: cachedAtHome, want: ALL },
  { fault: 'cache event reordered', step: 'finished', bring: scene => scene.events([[2, 'evicted'], [1, 'stored']]), check: cachedAtHome, want: 0 },
  { fault: 'cache event of an earlier incarnation', step: 'finished', bring: scene => { restart(scene); scene.tell(); scene.events([[1, 'stored']]) }, check: cachedAtHome, want: 0 },
  { fault: 'weights changed', step: 'sent', bring: scene => { scene.home.weightsVersion = 'w2'; scene.tell() }, check: cachedAtHome, want: 0 },
  { fault: 'weights changed', step: 'finished', bring: scene => { for (const one of scene.endpoints) one.weightsVersion = 'w2'; scene.placement.take({ type: 'snapshot', snapshot: buildSnapshot(scene.endpoints, performance.now() + 1, 2, 'w2') }) }, check: cachedAtHome, want: 0 },
  { fault: 'attempt failed', step: 'sent', bring: ({ placement }) => placement.take({ type: 'finished', attempt: 'one', cachedTokens: null }), check: ({ placement }) => placement.inFlight, want: 0 },
  { fault: 'end lost', step: 'sent', bring: scene => scene.tell(700_000), check: ({ placement }) => placement.inFlight, want: 0 },
  { fault: 'start after the end', step: 'finished', bring: ({ placement, home }) => placement.take({ type: 'started', attempt: 'one', endpoint: home.name, tokens: 1 }), check: ({ placement }) => placement.inFlight, want: 0 },
  { fault: 'peer demand', step: 'finished', bring: scene => sayDemand(scene), check: countShared, want: 4 },
  { fault: 'peer demand late and doubled', step: 'finished', bring: scene => { sayDemand(scene); sayDemand(scene, 1, 100); sayDemand(scene, 0, 100) }, check: countShared, want: 4 },
  { fault: 'peer silent', step: 'finished', bring: scene => { sayDemand(scene); scene.tell(16_000) }, check: countShared, want: 1 }
]

test.serial('placement: fault matrix', t => {
  for (const row of ROWS) {
    const clock = install()
    try {
      const scene = createScene(row.step, ms => clock.tick(ms))
      row.bring(scene)
      t.deepEqual(row.check(scene), row.want, `${row.fault} when ${row.step}`)
    } finally {
      clock.uninstall()
    }
  }
})

function createScene (step: Row['step'], wait: (ms: number) => void): Scene {
  const endpoints = createEndpoints(5)
  const placement = new Placement('a')
  const levels = cutRequest('hotel', ['r', 'c'])
  const tell = (ms = 1) => {
    wait(ms)
    placement.take({ type: 'snapshot', snapshot: buildSnapshot(endpoints, performance.now()) })
  }
  tell()
  const first = placeOn(placement, { levels })
  const home = endpoints.find(one => one.name === first.endpoint) as TrueEndpoint
  if (step !== 'chosen') placement.take({ type: 'started', attempt: 'one', endpoint: home.name, tokens: ALL, levels, decision: first })
  if (step === 'finished') placement.take({ type: 'finished', attempt: 'one', cachedTokens: 0 })
  wait(1_000)
  return {
    placement,
    endpoints,
    home,
    first,
    levels,
    tell,
    again: (excluded = []) => placeOn(placement, { levels, excluded }),
    events: entries => placement.take({ type: 'cacheEvents', endpoint: home.name, incarnation: first.incarnation, weightsVersion: 'w1', lagMs: 10, entries: entries.map(([n, type, level = 0]) => ({ n, type, key: levels[level].key })) })
  }
}

function sayDemand ({ placement, levels }: Scene, n = 1, tokensPerS = 3 * findCarriedShare(DEFAULT_PLACEMENT_OPTIONS.objectives, 'tail') * DEFAULT_PLACEMENT_OPTIONS.prefillTokensPerS): void {
  placement.take({ type: 'peerDemand', vm: 'peer', incarnation: 'p', dataCentre: 'a', n, demands: [{ key: levels[0].key.slice(0, 16), tokensPerS }] })
}

/** Endpoints that get requests which share only the outermost level. */
function countShared ({ placement }: Scene): number {
  const texts = Array.from({ length: 40 }, (_, i) => ['r', String.fromCharCode(200 + i)])
  return new Set(texts.map(parts => placement.rank({ pool: 'language', levels: cutRequest('hotel', parts) })[0])).size
}
