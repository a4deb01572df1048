import test from 'ava'
import { EndpointRelays } from '../endpointRelays.ts'

// Guards against requests that wait for a VM which hangs although another one has answered.
test('a request waits for the first VM that reaches enough, not for all', async t => {
  const reach = { pool: 'p', reached: 0, known: 4 }
  const relays = new EndpointRelays({
    dataCentre: 'dc-1',
    listReaches: () => [reach],
    computeReach: () => reach,
    listPeers: () => ['hangs', 'cut', 'sound'].map(vm => ({ vm, dataCentre: 'dc-1' })),
    askReach: async ({ vm }) => {
      if (vm === 'hangs') return await new Promise(() => {})
      return { pools: [{ pool: 'p', reached: vm === 'sound' ? 4 : 0, known: 4 }], relayedCount: 0 }
    },
    countRelayed: () => 0,
    onFailed () {}
  })
  t.like(await relays.select('p', []), { type: 'relay', peer: { vm: 'sound' } })
})
