import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { PlatformUnreachableError } from '../platformError.ts'
import { StoreAvailability } from '../storeAvailability.ts'
import type { TableFeed } from '../tableFeed.ts'
import { DEFAULT_TABLE_FOLLOWER_OPTIONS, TableFollower } from '../tableFollower.ts'
import type { TableUpdate } from '../tableFollower.ts'

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

/** Feed of a store that does not answer while `isOut`; a call that hangs ends with its signal only. */
class CuttableFeed implements TableFeed {
  isOut = false
  reads = 0
  /** Time of the last read that was answered. */
  readAtMs = -Infinity

  async readTable (_table: string, signal: AbortSignal): ReturnType<TableFeed['readTable']> {
    this.reads++
    if (this.isOut) await waitUntilAborted(signal)
    this.readAtMs = performance.now()
    return { rows: [], version: 1, era: 1 }
  }

  async pollChanges (_table: string, _version: number, waitMs: number, signal: AbortSignal): ReturnType<TableFeed['pollChanges']> {
    if (this.isOut) await waitUntilAborted(signal)
    await new Promise(resolve => setTimeout(resolve, waitMs))
    if (this.isOut) await waitUntilAborted(signal)
    return { type: 'changes', rows: [], version: 1, era: 1 }
  }
}

async function waitUntilAborted (signal: AbortSignal): Promise<never> {
  if (!signal.aborted) await new Promise(resolve => signal.addEventListener('abort', resolve))
  throw new PlatformUnreachableError('no answer')
}

interface Followers { first: CuttableFeed, second: CuttableFeed, updates: TableUpdate[], advance: (durationMs: number) => Promise<void> }

/** Follows two tables of one store over connections that can be cut each; `updates` are those of the second. */
async function runWithFollowers (check: (followers: Followers) => Promise<void>): Promise<void> {
  const clock = install()
  const abort = new AbortController()
  try {
    const availability = new StoreAvailability()
    const [first, second] = [new CuttableFeed(), new CuttableFeed()]
    const updates: TableUpdate[] = []
    const options = { ...DEFAULT_TABLE_FOLLOWER_OPTIONS, waitMs: 1_000 }
    new TableFollower(first, { ...options, table: 'first' }, LOG, () => {}, availability).run(abort.signal).catch(() => {})
    new TableFollower(second, { ...options, table: 'second', seed: 2 }, LOG, update => updates.push(update), availability).run(abort.signal).catch(() => {})
    await clock.tickAsync(10)
    await check({ first, second, updates, advance: async durationMs => { await clock.tickAsync(durationMs) } })
  } finally {
    abort.abort()
    await clock.tickAsync(5_000)
    clock.uninstall()
  }
}

// Guards against a VM that learns of leaving endpoints late after a cut, as each of its followers waits for its own hanging call and its own backoff.
test.serial('a follower reads at once when another one reaches the store again', async t => {
  await runWithFollowers(async ({ first, second, updates, advance }) => {
    for (const offsetMs of [0, 130, 260, 390, 520, 650]) {
      first.isOut = second.isOut = true
      await advance(4_000 + offsetMs)
      first.isOut = second.isOut = false
      const returnedAtMs = performance.now()
      await advance(1_200)
      t.true(first.readAtMs >= returnedAtMs && second.readAtMs >= returnedAtMs)
      t.true(Math.abs(first.readAtMs - second.readAtMs) <= 10, `${Math.abs(first.readAtMs - second.readAtMs)} ms`)
    }
    const reads = first.reads + second.reads
    await advance(20)
    t.is(first.reads + second.reads, reads)
    t.true(updates.length > 6)
  })
})

// Guards against rows that count as lost in an outage for longer than the store has been back.
test.serial('a read after an outage says for how long another follower has reached the store', async t => {
  await runWithFollowers(async ({ first, second, updates, advance }) => {
    first.isOut = second.isOut = true
    await advance(4_000)
    first.isOut = false
    await advance(1_200)
    second.isOut = false
    await advance(1_200)
    const update = updates.at(-1)
    t.true(update?.type === 'rows' && update.storeBackForMs !== null && update.storeBackForMs > 0 && update.storeBackForMs < 2_400)
  })
})

// Guards against an outage that is seen where one connection of many fails.
test('one failing follower is no outage of the store', t => {
  const availability = new StoreAvailability()
  const [first, second] = [{}, {}]
  availability.addFollower(first)
  availability.addFollower(second)
  const { returnSignal } = availability
  availability.recordFailure(first)
  availability.recordAnswer(second)
  availability.recordAnswer(first)
  t.false(returnSignal.aborted)
  t.is(availability.getBackForMs(-Infinity), 0)
  availability.recordFailure(first)
  availability.recordFailure(second)
  availability.recordAnswer(second)
  t.true(returnSignal.aborted)
})
