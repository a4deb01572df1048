import test from 'ava'
import { EndpointRelays } from '../endpointRelays.ts'
import type { LostEndpoint } from '../lostEndpoint.ts'
import type { LostSummary } from '../lostSummary.ts'
import { RelaySelector } from '../relaySelector.ts'

const OWN_DATA_CENTRE = 'dc-0'

function selectWith (lost: LostSummary | undefined, ownReached: number): string {
  const selector = new RelaySelector(OWN_DATA_CENTRE)
  selector.applyVms([{ vm: 'other', dataCentre: OWN_DATA_CENTRE }])
  selector.applyReport('other', { pools: [{ pool: 'p', reached: 4, known: 4, lost }], relayedCount: 0 })
  return selector.select({ pool: 'p', reached: ownReached, known: 4 }, []).type
}

// Guards against relays on a day without cuts: a VM that has tried crashed endpoints takes one that has not for better connected.
test('a VM that reaches endpoints relays only if others of the pool have answered another VM since it lost them', t => {
  t.is(selectWith({ answered: 0, unheard: 3 }, 1), 'direct')
  t.is(selectWith({ answered: 1, unheard: 2 }, 1), 'relay')
  t.is(selectWith({ answered: 0, unheard: 0 }, 1), 'direct')
  t.is(selectWith(undefined, 1), 'relay', 'a VM of an earlier build')
})

// Guards against callers who are refused at a VM without links because the other VMs have had no requests lately.
test('a VM that reaches no endpoint relays unless the other VM has lost the same endpoints', t => {
  t.is(selectWith({ answered: 0, unheard: 4 }, 0), 'relay')
  t.is(selectWith({ answered: 1, unheard: 0 }, 0), 'relay')
  t.is(selectWith({ answered: 0, unheard: 0 }, 0), 'unreached')
})

// Guards against questions that grow with the square of the VMs when all of them lose endpoints at a time.
test('a VM asks a few VMs of each data centre at a time, and others the next time', async t => {
  const reach = { pool: 'p', reached: 0, known: 4 }
  const peers = Array.from({ length: 80 }, (_, n) => ({ vm: `vm-${n}`, dataCentre: `dc-${n % 4}` }))
  const lost: LostEndpoint[] = Array.from({ length: 200 }, (_, n) => ({ pool: 'p', endpoint: `e${n}`, incarnation: `e${n}@1`, lostMs: 10 }))
  const asked: string[] = []
  const askedAbout = new Set<number>()
  const abort = new AbortController()
  const relays = new EndpointRelays({
    dataCentre: OWN_DATA_CENTRE,
    listReaches: () => [reach],
    computeReach: () => reach,
    listPeers: () => peers,
    listLost: () => lost,
    askReach: async ({ vm }, about) => {
      asked.push(vm)
      askedAbout.add(about.length)
      return { pools: [], relayedCount: 0 }
    },
    countRelayed: () => 0,
    onFailed () {}
  })
  t.is((await relays.select('p', [])).type, 'unreached')
  t.deepEqual([asked.length, new Set(asked).size], [16, 16])
  const running = relays.run(abort.signal)
  while (asked.length < 32) await new Promise(resolve => setTimeout(resolve, 20))
  abort.abort()
  await running
  t.is(new Set(asked).size, 32)
  t.deepEqual([...askedAbout], [64])
})

test('a VM says what it knows of the endpoints that another one has lost', t => {
  const reach = { pool: 'p', reached: 4, known: 4 }
  const relays = new EndpointRelays({
    dataCentre: OWN_DATA_CENTRE,
    listReaches: () => [reach, { ...reach, pool: 'other' }],
    computeReach: () => reach,
    listPeers: () => [],
    summarizeLost: lost => ({ answered: lost.length, unheard: 0 }),
    askReach: async () => null,
    countRelayed: () => 3,
    onFailed () {}
  })
  const lost = [{ pool: 'p', endpoint: 'e', incarnation: 'e@1', lostMs: 10 }]
  t.deepEqual(relays.handleReach({ lost }), { pools: [{ ...reach, lost: { answered: 1, unheard: 0 } }, { ...reach, pool: 'other' }], relayedCount: 3 })
  t.deepEqual(relays.handleReach({}), { pools: [reach, { ...reach, pool: 'other' }], relayedCount: 3 })
  t.throws(() => relays.handleReach({ lost: [{ pool: 'p' }] }))
})
