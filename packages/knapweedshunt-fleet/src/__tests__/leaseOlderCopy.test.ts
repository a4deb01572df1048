import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform } from 'knapweedshunt-platform'
import { LEASE_TABLE } from '../leaseState.ts'
import { LeaseTask } from '../leaseTask.ts'

const NAME = 'l'
const STEP_MS = 10
const OPTIONS = { durationMs: 2_000, minDurationMs: 1_000, guardMs: 300, intervalMs: 250, maxCommandMs: 3_300 }

/** A store that can be silent for one VM, and return to an older copy. */
class RestoredStore {
  readonly memory = new MemoryPlatform()
  readonly silentVms = new Set<string>()

  buildPlatform (vm: string): Platform {
    const { memory } = this
    const call = <T>(run: () => Promise<T>): Promise<T> => this.silentVms.has(vm) ? Promise.reject(new PlatformUnreachableError('Store did not answer.')) : run()
    return {
      ...memory,
      read: (table, key) => call(() => memory.read(table, key)),
      transact: transaction => call(() => memory.transact(transaction)),
      scan: request => memory.scan(request),
      getObject: name => memory.getObject(name),
      putObject: (name, text) => memory.putObject(name, text),
      listVms: () => memory.listVms()
    }
  }

  readRow (): unknown {
    return this.memory.tables.read(LEASE_TABLE, NAME)?.value
  }

  async restore (value: unknown): Promise<void> {
    const write = value === undefined ? { type: 'delete' as const, table: LEASE_TABLE, key: NAME } : { type: 'put' as const, table: LEASE_TABLE, key: NAME, value }
    await this.memory.transact({ checks: [], writes: [write] })
  }
}

interface OlderCopyFixture {
  clock: Clock
  store: RestoredStore
  first: LeaseTask
  second: LeaseTask
}

async function run (step: (fixture: OlderCopyFixture) => Promise<void>): Promise<void> {
  const clock = install({ now: 1_000_000 })
  try {
    const store = new RestoredStore()
    await step({ clock, store, first: new LeaseTask(store.buildPlatform('first'), NAME, 'first', OPTIONS), second: new LeaseTask(store.buildPlatform('second'), NAME, 'second', OPTIONS) })
  } finally {
    clock.uninstall()
  }
}

async function advance (clock: Clock, ms: number, tasks: LeaseTask[]): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
    for (const task of tasks) task.runOnce().catch(() => {})
    await clock.tickAsync(STEP_MS)
  }
}

/** Lets a VM contend until it may send commands, while the other is cut off from the store and sends commands as long as it may. Returns the time between the last command of the one and the first of the other. */
async function measureBetweenHolders (clock: Clock, first: LeaseTask, second: LeaseTask): Promise<number> {
  let lastMs = performance.now()
  while (second.readFencing(false) === null && performance.now() < 60_000) {
    await advance(clock, STEP_MS, [second])
    if (first.readFencing(false) !== null) lastMs = performance.now()
  }
  return performance.now() - lastMs
}

// Guards against a wait that is counted from a row that the store had replaced before it returned to an older copy.
for (const silentMs of [300, 900, 1_500]) {
  test.serial(`successor waits for the longest command when a store that was silent for ${silentMs} ms returns to an older copy`, async t => {
    await run(async ({ clock, store, first, second }) => {
      await advance(clock, 1_000, [first, second])
      t.not(first.readFencing(false), null)
      const older = store.readRow()
      store.silentVms.add('second')
      await advance(clock, silentMs, [first, second])
      t.notDeepEqual(store.readRow(), older)
      await store.restore(older)
      store.silentVms.clear()
      store.silentVms.add('first')
      const betweenMs = await measureBetweenHolders(clock, first, second)
      t.not(second.readFencing(false), null)
      t.true(betweenMs >= OPTIONS.maxCommandMs, `${betweenMs} ms between holders`)
    })
  })
}

// Guards against two holders with one fencing number, and against a successor that waits for nobody, when the store has lost the row.
for (const [copy, hasRow] of [['with an older holder', true], ['without the row', false]] as const) {
  test.serial(`fencing numbers increase, and the last holder is waited for, when the store returns to a copy ${copy}`, async t => {
    await run(async ({ clock, store, first, second }) => {
      await advance(clock, 500, [first])
      const older = store.readRow()
      await advance(clock, 100, [first])
      await first.release()
      await advance(clock, 500, [first, second])
      const before = first.readFencing(true) ?? 0
      t.is(before, 2)
      store.silentVms.add('second')
      await advance(clock, 300, [first, second])
      await store.restore(hasRow ? older : undefined)
      store.silentVms.clear()
      store.silentVms.add('first')
      const betweenMs = await measureBetweenHolders(clock, first, second)
      t.true((second.readFencing(false) ?? 0) > before)
      t.true(betweenMs >= OPTIONS.maxCommandMs, `${betweenMs} ms between holders`)
    })
  })
}

test.serial('a holder whose row was lost by the store goes on with a greater fencing number', async t => {
  await run(async ({ clock, store, first }) => {
    await advance(clock, 1_000, [first])
    t.is(first.readFencing(false), 1)
    await store.restore(undefined)
    await advance(clock, 1_000, [first])
    t.is(first.readFencing(false), 2)
  })
})
