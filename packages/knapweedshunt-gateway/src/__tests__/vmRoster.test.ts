import test from 'ava'
import { SuspectRegistry } from 'knapweedshunt-attempts'
import type { SuspectMark } from 'knapweedshunt-attempts'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { ROSTER_TABLE, VmRoster } from '../directory/vmRoster.ts'

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

function buildRoster (platform: MemoryPlatform, vm: string, onMark: (mark: SuspectMark) => void): VmRoster {
  return new VmRoster({ platform, self: { vm, incarnation: `${vm}@1`, dataCentre: 'z' }, log: LOG, onMark: ({ mark }) => onMark(mark), onMarkEvicted: () => {}, onUnwritten: () => {}, onWaveNotice: () => {} })
}

async function readAll (platform: MemoryPlatform, roster: VmRoster): Promise<void> {
  roster.applyUpdate({ type: 'rows', rows: await platform.scan({ table: ROSTER_TABLE, limit: 100 }), isAfterOutage: false })
}

function buildMark (fingerprint: string, endpoint: string): SuspectMark {
  return { type: 'crashed', fingerprint, crashes: [{ endpoint, startedAgeMs: 20, crashedAgeMs: 0 }] }
}

test('a crash mark is applied once, however often its row is read or rewritten', async t => {
  const platform = new MemoryPlatform()
  const applied: string[] = []
  const writer = buildRoster(platform, 'a', () => {})
  const reader = buildRoster(platform, 'b', mark => applied.push(mark.fingerprint))
  await writer.announceMark(buildMark('one', 'e1'))
  await readAll(platform, reader)
  await readAll(platform, reader)
  await writer.announceMark(buildMark('two', 'e2'))
  await readAll(platform, reader)
  t.deepEqual(applied, ['one', 'two'])
})

test('marks of one VM quarantine a request at the others after the same number of crashes', async t => {
  const platform = new MemoryPlatform()
  const options = { maxCrashes: 3, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10 }
  const [own, other] = [new SuspectRegistry(options), new SuspectRegistry(options)]
  const writer = buildRoster(platform, 'a', () => {})
  const reader = buildRoster(platform, 'b', mark => other.applyMark(mark))
  for (const endpoint of ['e1', 'e2', 'e3']) {
    t.is(other.check('f').type === 'quarantined', false)
    await writer.announceMark(own.recordCrash('f', endpoint, performance.now() - 50))
    await readAll(platform, reader)
  }
  t.is(other.check('f').type, 'quarantined')
})

test('a restarted VM applies the marks of its previous incarnation', async t => {
  const platform = new MemoryPlatform()
  await buildRoster(platform, 'a', () => {}).announceMark(buildMark('one', 'e1'))
  const applied: string[] = []
  const restarted = new VmRoster({ platform, self: { vm: 'a', incarnation: 'a@2', dataCentre: 'z' }, log: LOG, onMark: ({ mark }) => applied.push(mark.fingerprint), onMarkEvicted: () => {}, onUnwritten: () => {}, onWaveNotice: () => {} })
  await readAll(platform, restarted)
  t.deepEqual(applied, ['one'])
})

test('marks of one crash are written in one batch', async t => {
  const platform = new MemoryPlatform()
  const applied: string[] = []
  const writer = buildRoster(platform, 'a', () => {})
  await Promise.all(['one', 'two', 'three'].map(fingerprint => writer.announceMark(buildMark(fingerprint, 'e1'))))
  t.is(platform.counts.writes, 1)
  await readAll(platform, buildRoster(platform, 'b', mark => applied.push(mark.fingerprint)))
  t.deepEqual(applied, ['one', 'two', 'three'])
})

test('a cleared mark clears the request at the other VMs', async t => {
  const platform = new MemoryPlatform()
  const options = { maxCrashes: 2, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10 }
  const [own, other] = [new SuspectRegistry(options), new SuspectRegistry(options)]
  const writer = buildRoster(platform, 'a', () => {})
  const reader = buildRoster(platform, 'b', mark => other.applyMark(mark))
  for (const endpoint of ['e1', 'e2', 'e3']) {
    await writer.announceMark(own.recordCrash('f', endpoint, performance.now() - 50))
    await readAll(platform, reader)
    t.is(other.check('f').type, 'suspect')
    const cleared = own.recordSuccess('f')
    t.truthy(cleared)
    if (cleared !== null) await writer.announceMark(cleared)
    await readAll(platform, reader)
    t.is(other.check('f').type, 'clear')
  }
})
