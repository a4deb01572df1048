import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { PlatformUnreachableError } from '../platformError.ts'
import type { TableChanges, TableFeed, TableSnapshot } from '../tableFeed.ts'
import { DEFAULT_TABLE_FOLLOWER_OPTIONS, TableFollower } from '../tableFollower.ts'
import type { TableUpdate } from '../tableFollower.ts'

const LOG = { debug () {}, info () {}, warn () {}, error () {} }
const OPTIONS = { ...DEFAULT_TABLE_FOLLOWER_OPTIONS, table: 't', waitMs: 1_000 }

interface TestContext { clock: Clock, follower: TableFollower, updates: TableUpdate[], listener: { fails: (update: TableUpdate) => boolean }, feed: { read: () => Promise<TableSnapshot>, poll: (signal: AbortSignal) => Promise<TableChanges>, reads: number } }

async function runWithFollower (check: (context: TestContext) => Promise<void>): Promise<void> {
  const clock = install()
  const abort = new AbortController()
  try {
    const feed: TestContext['feed'] = {
      reads: 0,
      read: async () => ({ rows: [{ key: 'a', version: 1, value: 1 }], version: 1, era: 1 }),
      poll: async () => {
        await new Promise(resolve => setTimeout(resolve, 1_000))
        return { type: 'changes', rows: [], version: 1, era: 1 }
      }
    }
    const updates: TableUpdate[] = []
    const tableFeed: TableFeed = { readTable: () => { feed.reads++; return feed.read() }, pollChanges: (_table, _after, _wait, signal) => feed.poll(signal) }
    const listener: TestContext['listener'] = { fails: () => false }
    const follower = new TableFollower(tableFeed, OPTIONS, LOG, update => {
      updates.push(update)
      if (listener.fails(update)) throw new RangeError('Maximum call stack size exceeded')
    })
    follower.run(abort.signal).catch(() => {})
    await clock.tickAsync(1)
    await check({ clock, follower, updates, listener, feed })
  } finally {
    abort.abort()
    await clock.tickAsync(5_000)
    clock.uninstall()
  }
}

test.serial('age is measured from when the last answered call was sent', async t => {
  await runWithFollower(async ({ clock, follower }) => {
    await clock.tickAsync(900)
    t.true(follower.ageMs! >= 900)
    await clock.tickAsync(110)
    t.true(follower.ageMs! >= 1_000 && follower.ageMs! < 1_100)
  })
})

test.serial('time in which the process is suspended counts towards the age', async t => {
  await runWithFollower(async ({ clock, follower }) => {
    clock.setSystemTime(Date.now() + 5_000)
    t.true(follower.ageMs! >= 5_000)
  })
})

test.serial('lost history leads to a full read', async t => {
  await runWithFollower(async ({ clock, feed, updates }) => {
    feed.poll = async () => ({ type: 'historyLost' })
    feed.read = async () => ({ rows: [{ key: 'b', version: 9, value: 2 }], version: 9, era: 1 })
    await clock.tickAsync(1_100)
    t.true(feed.reads >= 2)
    t.deepEqual(updates.at(-1), { type: 'rows', rows: [{ key: 'b', version: 9, value: 2 }], storeBackForMs: null })
  })
})

test.serial('a poll without an answer leads to a full read, reported as one after an outage', async t => {
  await runWithFollower(async ({ clock, feed, follower, updates }) => {
    feed.poll = signal => new Promise((_resolve, reject) => signal.addEventListener('abort', () => reject(new PlatformUnreachableError('Poll aborted after its timeout.'))))
    await clock.tickAsync(2 * (1_000 + OPTIONS.timeoutMs) + 500)
    t.true(feed.reads >= 2)
    t.true(updates.some(update => update.type === 'rows' && update.storeBackForMs !== null))
    t.true(follower.isReachable)
  })
})

test.serial('refresh reads the table at once', async t => {
  await runWithFollower(async ({ clock, feed, follower }) => {
    feed.poll = signal => new Promise((_resolve, reject) => signal.addEventListener('abort', () => reject(new PlatformUnreachableError('Poll aborted.'))))
    await clock.tickAsync(1_005)
    const { reads } = feed
    follower.refresh()
    await clock.tickAsync(5)
    t.is(feed.reads, reads + 1)
  })
})

// Guards against rows that are missed because a restored store has given out the version of the last poll again.
test.serial('a new era of the store leads to a full read, reported as one after an outage', async t => {
  await runWithFollower(async ({ clock, feed, updates }) => {
    feed.poll = async () => {
      await new Promise(resolve => setTimeout(resolve, 100))
      return { type: 'changes', rows: [{ key: 'c', version: 8, value: 3, isDeleted: false }], version: 8, era: 2 }
    }
    feed.read = async () => ({ rows: [{ key: 'b', version: 7, value: 2 }], version: 8, era: 2 })
    await clock.tickAsync(1_150)
    t.deepEqual(updates.at(1), { type: 'rows', rows: [{ key: 'b', version: 7, value: 2 }], storeBackForMs: 0 })
  })
})

for (const era of [0, null]) {
  test.serial(`an answer with era ${era} after era 1 is not used`, async t => {
    await runWithFollower(async ({ clock, feed, updates, follower }) => {
      const updateCount = updates.length
      feed.poll = async () => ({ type: 'changes', rows: [{ key: 'c', version: 8, value: 3, isDeleted: false }], version: 8, era })
      feed.read = async () => ({ rows: [], version: 8, era })
      await clock.tickAsync(3_000)
      t.is(updates.length, updateCount)
      t.false(follower.isReachable)
    })
  })
}

// Guards against a table that is read in full again and again, and never followed, because of a row that its listener cannot apply.
test.serial('an update that its listener cannot apply is followed by one full read and by the changes after it', async t => {
  await runWithFollower(async ({ clock, follower, updates, listener, feed }) => {
    let version = 1
    feed.poll = async () => {
      await new Promise(resolve => setTimeout(resolve, 1_000))
      return { type: 'changes', rows: [{ key: 'c', version: ++version, value: 3, isDeleted: false }], version, era: 1 }
    }
    feed.read = async () => ({ rows: [], version, era: 1 })
    listener.fails = update => update.type === 'rows' || update.rows[0].version <= 2
    await clock.tickAsync(4_100)
    t.deepEqual(updates.map(update => update.type === 'rows' ? 'rows' : update.rows[0].version), ['rows', 2, 'rows', 3, 4])
    t.is(feed.reads, 2)
    t.true(follower.isReachable)
  })
})
