import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { SuspectRegistry } from 'knapweedshunt-attempts'
import type { SuspectMark } from 'knapweedshunt-attempts'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { sleep } from 'knapweedshunt-utils'
import { SUSPECT_OPTIONS } from '../directory/suspectOptions.ts'
import { ROSTER_TABLE } from '../directory/rosterRows.ts'
import { VmRoster } from '../directory/vmRoster.ts'

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

/** Time after which announced rows are written when the store is up, in milliseconds. */
const WRITE_MS = 60

/** Builds the roster of a VM that has read an empty table, so that it writes marks. */
function buildRoster (platform: MemoryPlatform, vm: string, onMark: (mark: SuspectMark) => void): VmRoster {
  const roster = buildStartingRoster(platform, vm, 1, onMark)
  roster.applyUpdate({ type: 'rows', rows: [], storeBackForMs: null })
  return roster
}

function buildStartingRoster (platform: MemoryPlatform, vm: string, start: number, onMark: (mark: SuspectMark) => void): VmRoster {
  return new VmRoster({
    platform,
    self: { vm, incarnation: `${vm}@${start}`, dataCentre: 'z' },
    log: LOG,
    signal: new AbortController().signal,
    onMark: ({ mark }) => onMark(mark),
    buildPartEvidence: () => ({ reports: [], quarantines: [], clearings: [] }),
    onPartEvidence: () => {},
    onLimitReport: () => {},
    onPoolVersions: () => {},
    onMarkEvicted: () => {},
    onUnwritten: () => {},
    onUnreadable: () => {},
    onWaveNotice: () => {}
  })
}

async function announce (roster: VmRoster, ...marks: SuspectMark[]): Promise<void> {
  for (const mark of marks) roster.announceMark(mark)
  await sleep(WRITE_MS)
}

async function readAll (platform: MemoryPlatform, roster: VmRoster): Promise<void> {
  roster.applyUpdate({ type: 'rows', rows: await platform.scan({ table: ROSTER_TABLE, limit: 100 }), storeBackForMs: null })
}

function buildMark (fingerprint: string, endpoint: string): SuspectMark {
  return { type: 'crashed', fingerprint, crashes: [{ ids: [`${fingerprint}-${endpoint}`], endpoint, startedAgeMs: 20, crashedAgeMs: 0 }] }
}

test('a crash mark is applied once, however often its row is read or rewritten', async t => {
  const platform = new MemoryPlatform()
  const applied: string[] = []
  const writer = buildRoster(platform, 'a', () => {})
  const reader = buildRoster(platform, 'b', mark => applied.push(mark.fingerprint))
  await announce(writer, buildMark('one', 'e1'))
  await readAll(platform, reader)
  await readAll(platform, reader)
  await announce(writer, buildMark('two', 'e2'))
  await readAll(platform, reader)
  t.deepEqual(applied, ['one', 'two'])
})

test('marks of one VM quarantine a request at the others after the same number of crashes', async t => {
  const platform = new MemoryPlatform()
  const options = { maxCrashes: 3, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10, doubt: null }
  const [own, other] = [new SuspectRegistry(options), new SuspectRegistry(options)]
  const writer = buildRoster(platform, 'a', () => {})
  const reader = buildRoster(platform, 'b', mark => other.applyMark(mark))
  for (const endpoint of ['e1', 'e2', 'e3']) {
    t.is(other.check('f').type === 'quarantined', false)
    await announce(writer, own.recordCrash('f', endpoint, performance.now() - 50))
    await readAll(platform, reader)
  }
  t.is(other.check('f').type, 'quarantined')
})

test('a restarted VM applies the marks of its previous incarnation', async t => {
  const platform = new MemoryPlatform()
  await announce(buildRoster(platform, 'a', () => {}), buildMark('one', 'e1'))
  const applied: string[] = []
  const restarted = buildStartingRoster(platform, 'a', 2, mark => applied.push(mark.fingerprint))
  await readAll(platform, restarted)
  t.deepEqual(applied, ['one'])
})

test('marks of one crash are written in one batch', async t => {
  const platform = new MemoryPlatform()
  const applied: string[] = []
  const writer = buildRoster(platform, 'a', () => {})
  await announce(writer, ...['one', 'two', 'three'].map(fingerprint => buildMark(fingerprint, 'e1')))
  t.is(platform.counts.writes, 1)
  await readAll(platform, buildRoster(platform, 'b', mark => applied.push(mark.fingerprint)))
  t.deepEqual(applied, ['one', 'two', 'three'])
})

test('a cleared mark clears the request at the other VMs', async t => {
  const platform = new MemoryPlatform()
  const options = { maxCrashes: 2, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10, doubt: null }
  const [own, other] = [new SuspectRegistry(options), new SuspectRegistry(options)]
  const writer = buildRoster(platform, 'a', () => {})
  const reader = buildRoster(platform, 'b', mark => other.applyMark(mark))
  for (const endpoint of ['e1', 'e2', 'e3']) {
    await announce(writer, own.recordCrash('f', endpoint, performance.now() - 50))
    await readAll(platform, reader)
    t.is(other.check('f').type, 'suspect')
    const cleared = own.recordSuccess('f')
    t.truthy(cleared)
    if (cleared !== null) await announce(writer, cleared)
    await readAll(platform, reader)
    t.is(other.check('f').type, 'clear')
  }
})

/** Time within which a row that was lost is written again, in milliseconds. */
const REWRITE_MS = 1_000

async function runWithClock (check: (clock: Clock) => Promise<void>): Promise<void> {
  const clock = install()
  try {
    await check(clock)
  } finally {
    clock.uninstall()
  }
}

function collectFrom (platform: MemoryPlatform, vm: string): { roster: VmRoster, applied: string[] } {
  const applied: string[] = []
  return { roster: buildRoster(platform, vm, mark => applied.push(`${mark.type} ${mark.fingerprint}`)), applied }
}

// Guards against a mark that stays unknown to the other VMs because its only write failed.
test.serial('a mark whose write failed is written again without another crash', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const reader = collectFrom(platform, 'b')
    const writer = buildRoster(platform, 'a', () => {})
    platform.faults.down = true
    writer.announceMark(buildMark('one', 'e1'))
    await clock.tickAsync(3_000)
    platform.faults.down = false
    await clock.tickAsync(REWRITE_MS)
    await readAll(platform, reader.roster)
    t.deepEqual(reader.applied, ['crashed one'])
  })
})

// Guards against rows that a store restored from an older copy has lost.
test.serial('rows of this VM that are missing from the store are written again', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const writer = buildRoster(platform, 'a', () => {})
    const emptyCopy = platform.tables.copy()
    writer.announceSelf(null)
    writer.announceMark(buildMark('one', 'e1'))
    await clock.tickAsync(100)
    platform.tables.restore(emptyCopy)
    await readAll(platform, writer)
    await clock.tickAsync(REWRITE_MS)
    const reader = collectFrom(platform, 'b')
    await readAll(platform, reader.roster)
    t.deepEqual(reader.applied, ['crashed one'])
    t.is(reader.roster.countVms(), 2)
  })
})

// Guards against marks that an older write of the same row, carried out late, takes away again.
test.serial('a row that an older write replaced is written again', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const writer = buildRoster(platform, 'a', () => {})
    platform.faults.applyLate = 1
    platform.faults.lateMs = 2_000
    writer.announceMark(buildMark('one', 'e1'))
    await clock.tickAsync(100)
    writer.announceMark(buildMark('two', 'e2'))
    await clock.tickAsync(2_500)
    await readAll(platform, writer)
    await clock.tickAsync(REWRITE_MS)
    const reader = collectFrom(platform, 'b')
    await readAll(platform, reader.roster)
    t.deepEqual(reader.applied, ['crashed one', 'crashed two'])
  })
})

// Guards against a quarantine that is lost when the VM that wrote it restarts and writes marks of its own.
test.serial('a restarted VM keeps the marks of its previous incarnation in its row', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    buildRoster(platform, 'a', () => {}).announceMark({ type: 'quarantined', fingerprint: 'one', forMs: 600_000 })
    await clock.tickAsync(100)
    const restarted = buildStartingRoster(platform, 'a', 2, () => {})
    await readAll(platform, restarted)
    restarted.announceMark(buildMark('two', 'e1'))
    await clock.tickAsync(100)
    const reader = collectFrom(platform, 'b')
    await readAll(platform, reader.roster)
    t.deepEqual(reader.applied, ['quarantined one', 'crashed two'])
  })
})

// Guards against a quarantine that falls out of a full row before VMs that start later have read it.
test.serial('marks of harmless requests do not evict a quarantine', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const writer = buildRoster(platform, 'a', () => {})
    writer.announceMark({ type: 'quarantined', fingerprint: 'one', forMs: 600_000 })
    for (let n = 0; n < 1_000; n++) writer.announceMark(buildMark(`harmless-${n}`, 'e1'))
    await clock.tickAsync(100)
    const reader = collectFrom(platform, 'b')
    await readAll(platform, reader.roster)
    t.true(reader.applied.includes('quarantined one'))
  })
})

// Guards against a quarantine that VMs which start after a minute do not learn of.
test.serial('a quarantine is applied by a VM that starts later, for the time that is left', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const writer = buildRoster(platform, 'a', () => {})
    writer.announceMark({ type: 'quarantined', fingerprint: 'one', forMs: 600_000 })
    await clock.tickAsync(120_000)
    const registry = new SuspectRegistry(SUSPECT_OPTIONS)
    await readAll(platform, buildRoster(platform, 'b', mark => registry.applyMark(mark)))
    t.is(registry.check('one').type, 'quarantined')
    await clock.tickAsync(481_000)
    t.not(registry.check('one').type, 'quarantined')
  })
})

// Guards against two crashes of one endpoint that count as one because the first is read late.
test.serial('a mark that is read late keeps the time of its crash', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const own = new SuspectRegistry(SUSPECT_OPTIONS)
    const registry = new SuspectRegistry(SUSPECT_OPTIONS)
    buildRoster(platform, 'a', () => {}).announceMark(own.recordCrash('f', 'e1', performance.now() - 50))
    await clock.tickAsync(8_000)
    registry.recordCrash('f', 'e1', performance.now() - 60)
    await readAll(platform, buildRoster(platform, 'b', mark => registry.applyMark(mark)))
    registry.recordCrash('f', 'e2', performance.now() - 60)
    t.is(registry.check('f').type, 'quarantined')
  })
})

// Guards against retry shares that grow because a restored store does not list the other VMs yet.
test.serial('VMs that a snapshot no longer lists still count until they had time to write their rows again', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const rosters = ['a', 'b', 'c'].map(vm => buildRoster(platform, vm, () => {}))
    for (const roster of rosters) roster.announceSelf(null)
    await clock.tickAsync(100)
    await readAll(platform, rosters[0])
    t.is(rosters[0].countVms(), 3)
    rosters[0].applyUpdate({ type: 'rows', rows: [], storeBackForMs: 0 })
    t.is(rosters[0].countVms(), 3)
    await clock.tickAsync(5_100)
    t.is(rosters[0].countVms(), 1)
  })
})
