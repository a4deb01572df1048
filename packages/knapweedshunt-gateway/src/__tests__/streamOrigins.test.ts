import { setMaxListeners } from 'node:events'
import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { computeStreamKey, selectStoringWriters, selectStreamHolders, selectStreamWriters } from 'knapweedshunt-attempts'
import { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { PeerView } from '../peers/peerAddress.ts'
import { StreamOrigins } from '../peers/streamOrigins.ts'
import { DecisionLog } from '../records/decisionLog.ts'
import { buildVersionEntry, POOL } from './buildVersionEntry.ts'
import { EMPTY_STREAM_ROWS } from './emptyStreamRows.ts'

const RETENTION_MS = 5_000

/** Time after which a pool is no longer new, in milliseconds. */
const OBSERVED_MS = 20_000

const UPDATE_INTERVAL_MS = 250

const LOG = { debug () {}, info () {}, warn () {}, error () {} }
const VM = { vm: 'vm-0', dataCentre: 'z1' }
const PEERS: PeerView[] = Array.from({ length: 12 }, (_, n) => ({ vm: `vm-${n + 1}`, dataCentre: 'z1', address: { url: '', key: '1' } }))

interface Setup {
  clock: Clock
  origins: StreamOrigins
  /** Replaces the endpoints by one of each version. */
  applyVersions: (versions: string[]) => void
  /** Lets time pass while the endpoints are read. */
  observe: (durationMs: number) => Promise<void>
}

/** Runs with a VM that has just started and read no endpoints. */
async function runWithStarted (call: (view: PeerView, method: string, params: unknown) => unknown, run: (setup: Setup) => Promise<void>, streamRows: Partial<typeof EMPTY_STREAM_ROWS> = {}): Promise<void> {
  const clock = install()
  const abort = new AbortController()
  setMaxListeners(0, abort.signal)
  try {
    const registry = new EndpointRegistry(() => {}, () => {}, () => {})
    const origins = new StreamOrigins({
      ...VM,
      endpointRegistry: registry,
      decisionLog: new DecisionLog(LOG),
      ...EMPTY_STREAM_ROWS,
      ...streamRows,
      signal: abort.signal,
      listPeers: () => PEERS,
      call: async (view, method, params) => call(view, method, params),
      getRetentionMs: () => RETENTION_MS,
      getEndpointsAgeMs: () => 0,
      isVersionsWriter: () => false,
      writePoolVersions: async () => {}
    })
    const applyVersions = (versions: string[]) => {
      registry.applySnapshot(versions.map(softwareVersion => buildVersionEntry(softwareVersion, softwareVersion)), [], null)
      origins.updateVersions()
    }
    const observe = async (durationMs: number) => {
      for (let ms = 0; ms < durationMs; ms += UPDATE_INTERVAL_MS) {
        await clock.tickAsync(UPDATE_INTERVAL_MS)
        origins.updateVersions()
      }
    }
    await run({ clock, origins, applyVersions, observe })
  } finally {
    abort.abort()
    clock.uninstall()
  }
}

/** Runs with a VM that has observed one software version for long enough. */
async function runWithOrigins (call: (view: PeerView, method: string) => unknown, run: (setup: Setup) => Promise<void>): Promise<void> {
  await runWithStarted(call, async setup => {
    setup.applyVersions(['v1'])
    await setup.observe(OBSERVED_MS)
    await run(setup)
  })
}

function listHolders (firstRequestId: string): string[] {
  return selectStreamHolders(computeStreamKey('org', POOL, firstRequestId), [VM, ...PEERS]).map(({ vm }) => vm)
}

// Guards against streams that are refused because the VMs that stored them answer before they have read their rows.
test.serial('rows of VMs that answer before they have read them are looked up in the store', async t => {
  const identity = { organisation: 'org', pool: POOL, firstRequestId: 'r' }
  const storing = selectStoringWriters(computeStreamKey('org', POOL, 'r'), selectStreamWriters([VM, ...PEERS])).map(({ vm }) => vm)
  const find = async (isRestored: boolean) => {
    let origin: unknown
    await runWithStarted(() => ({ softwareVersion: null, onlyVersion: null, isRestored }), async ({ clock, origins, applyVersions }) => {
      applyVersions(['v1', 'v2'])
      const found = origins.findOrigin(identity)
      await clock.tickAsync(10)
      origin = await found
    }, { streamRowReader: { find: async vm => storing.includes(vm) ? 'v1' : null } })
    return origin
  }
  t.deepEqual(await find(false), { type: 'known', softwareVersion: 'v1' })
  t.deepEqual(await find(true), { type: 'unknown' })
})

// Guards against streams of earlier builds, which make one call at a time, that are told late because the calls before are answered late.
test.serial('VMs of earlier builds do not wait until their streams are stored', async t => {
  await runWithStarted(() => ({}), async ({ clock, origins }) => {
    const answered: string[] = []
    const tell = (name: string, options: object) => origins.handleRecord({ pool: POOL, streams: [{ key: 'k', softwareVersion: 'v1', mustStore: true }], ...options }).then(() => answered.push(name))
    Promise.all([tell('earlier', {}), tell('same', { waitsUntilStored: true })]).catch(() => {})
    await clock.tickAsync(10)
    t.deepEqual(answered, ['earlier'])
  }, { streamRows: { ...EMPTY_STREAM_ROWS.streamRows, store: () => new Promise(() => {}) } })
})

// Guards against holders out of step whose word counts for more than what this VM has seen itself.
test.serial('a VM that has seen two versions does not believe holders who say that there is one', async t => {
  await runWithOrigins(() => ({ softwareVersion: null, onlyVersion: 'v1' }), async ({ clock, origins, applyVersions }) => {
    const find = async () => {
      const origin = origins.findOrigin({ organisation: 'org', pool: POOL, firstRequestId: 'r' })
      await clock.tickAsync(10)
      return await origin
    }
    t.deepEqual(await find(), { type: 'known', softwareVersion: 'v1' })
    applyVersions(['v1', 'v2'])
    t.deepEqual(await find(), { type: 'unknown' })
  })
})

// Guards against a caller that does not name its first request, and so is answered by other VMs than the stream's holders.
test.serial('a stream begins on a new version once its holders and those of the empty id have acknowledged the version', async t => {
  const firstRequestId = Array.from({ length: 100 }, (_, n) => `r${n}`).find(id => !listHolders(id).some(vm => vm === VM.vm || listHolders('').includes(vm)))!
  let informed: string[] = []
  const call = ({ vm }: PeerView, method: string) => {
    if (method === 'streams.versions' && !informed.includes(vm)) throw new Error('no answer')
    return {}
  }
  await runWithOrigins(call, async ({ clock, origins, applyVersions }) => {
    const identity = { organisation: 'org', pool: POOL, firstRequestId }
    applyVersions(['v1', 'v2'])
    await clock.tickAsync(500)
    t.true(origins.canBegin(identity, 'v1'))
    t.false(origins.canBegin(identity, 'v2'))
    informed = listHolders(firstRequestId)
    await clock.tickAsync(500)
    t.false(origins.canBegin(identity, 'v2'))
    informed = [...informed, ...listHolders('').slice(0, 1)]
    await clock.tickAsync(500)
    t.false(origins.canBegin(identity, 'v2'), 'one of three holders of the empty id')
    informed = [...informed, ...listHolders('').slice(0, 2)]
    await clock.tickAsync(500)
    t.true(origins.canBegin(identity, 'v2'))
  })
})

// Guards against VMs that start together and spend their processor time on telling each other what all of them read at the same time.
test.serial('versions of a new pool are not told to other VMs, but ones that are not settled when it ceases to be new are', async t => {
  const told = new Set<string>()
  const call = ({ vm }: PeerView, method: string, params: unknown) => {
    if (method === 'streams.versions') for (const version of (params as { softwareVersions: string[] }).softwareVersions) told.add(`${vm} ${version}`)
    return {}
  }
  await runWithStarted(call, async ({ origins, applyVersions, observe }) => {
    const identity = { organisation: 'org', pool: POOL, firstRequestId: 'r' }
    applyVersions(['v1'])
    await observe(9_000)
    t.is(told.size, 0)
    t.true(origins.canBegin(identity, 'v1'))
    applyVersions(['v1', 'v2'])
    t.true(origins.canBegin(identity, 'v2'))
    await observe(3_000)
    t.deepEqual([...told].sort(), PEERS.map(({ vm }) => `${vm} v2`).sort())
    t.true(origins.canBegin(identity, 'v2'))
  })
})

test.serial('a stream begins on a new version once no table that counts as fresh can lack it', async t => {
  await runWithOrigins(() => { throw new Error('no answer') }, async ({ clock, origins, applyVersions, observe }) => {
    const identity = { organisation: 'org', pool: POOL, firstRequestId: 'r' }
    applyVersions(['v1', 'v2'])
    await observe(4_250)
    t.false(origins.canBegin(identity, 'v2'))
    await observe(500)
    t.true(origins.canBegin(identity, 'v2'))
    // Without a read for longer than a table counts as fresh, other VMs may have forgotten the version.
    await clock.tickAsync(4_250)
    origins.updateVersions()
    t.false(origins.canBegin(identity, 'v2'))
  })
})

// Guards against a herd of VMs that have all just started, each of which tells the others what all have read from the store.
test.serial('a VM that has just started does not tell others what it has read from the store', async t => {
  const told: string[] = []
  await runWithStarted((_view, method) => told.push(method), async ({ clock, origins, applyVersions }) => {
    const restored = Array.from({ length: 20 }, (_, n) => ({ key: computeStreamKey('org', POOL, `r${n}`), pool: POOL, softwareVersion: 'v1' }))
    origins.applyRestored(restored)
    applyVersions(['v1', 'v2'])
    await clock.tickAsync(1_000)
    t.false(told.includes('streams.record'))
    origins.recordBegan({ organisation: 'org', pool: POOL, firstRequestId: 'new' }, 'v1')
    await clock.tickAsync(1_000)
    t.true(told.includes('streams.record'))
  })
})
