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
  /** Null for a store that states no era. */
  era: number | null = null

  /** Called before each transaction is applied. */
  beforeTransaction: () => void = () => {}

  buildPlatform (vm: string): Platform {
    const { memory } = this
    const call = <T>(run: () => Promise<T>): Promise<T> => this.silentVms.has(vm) ? Promise.reject(new PlatformUnreachableError('Store did not answer.')) : run()
    return {
      ...memory,
      read: (table, key) => call(() => memory.read(table, key)),
      readWithEra: (table, key) => call(async () => ({ era: this.era, row: await memory.read(table, key) })),
      transact: transaction => call(async () => {
        this.beforeTransaction()
        const result = await memory.transact(transaction)
        return result.type === 'committed' ? { ...result, era: this.era } : result
      }),
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

/** Lets a VM take and release the lease some times; returns its last fencing number. */
async function takeOften (clock: Clock, task: LeaseTask, count: number): Promise<number> {
  let fencing = 0
  for (let n = 0; n < count; n++) {
    await advance(clock, 1_000, [task])
    fencing = task.readFencing(true) ?? 0
    await task.release()
  }
  return fencing
}

// Guards against fencing numbers that go back when the store has lost them and no process remembers them.
for (const [copy, hasRow, firstEra] of [['with an older number', true, 0], ['with an older number', true, 7], ['without the row', false, 1]] as const) {
  test.serial(`fencing numbers increase when the store of era ${firstEra} returns to a copy ${copy} and all VMs were restarted since`, async t => {
    await run(async ({ clock, store, first }) => {
      store.era = firstEra
      await takeOften(clock, first, 2)
      const older = store.readRow()
      const before = await takeOften(clock, first, 3)
      await store.restore(hasRow ? older : undefined)
      store.era++
      const restarted = new LeaseTask(store.buildPlatform('restarted'), NAME, 'restarted', OPTIONS)
      const after = await takeOften(clock, restarted, 1)
      t.true(after > before, `${after} after ${before}`)
      store.era++
      t.true(await takeOften(clock, new LeaseTask(store.buildPlatform('next'), NAME, 'next', OPTIONS), 1) > after)
    })
  })
}

// Guards against a holder that was counted in before the store returned to an older copy, with a number that was given out again.
test.serial('a lease that is written while the store returns to an older copy is taken anew', async t => {
  await run(async ({ clock, store, first }) => {
    store.era = 1
    const before = await takeOften(clock, first, 1)
    store.beforeTransaction = () => {
      store.era = 2
      store.beforeTransaction = () => {}
    }
    const numbers = new Set<number | null>()
    for (let n = 0; n < 100; n++) {
      await advance(clock, STEP_MS, [first])
      numbers.add(first.readFencing(true))
    }
    numbers.delete(null)
    t.deepEqual(numbers.size, 1)
    t.true([...numbers].every(number => Number(number) > before + 1), `${[...numbers].join()} after ${before}`)
  })
})

// Guards against a holder that goes on with its number although another VM may have been given it in the lost time.
test.serial('a holder takes a greater number once the era of the store has risen', async t => {
  await run(async ({ clock, store, first }) => {
    store.era = 1
    await advance(clock, 1_000, [first])
    const before = first.readFencing(true) ?? 0
    t.true(before > 0)
    store.era = 2
    await advance(clock, 1_000, [first])
    t.true((first.readFencing(true) ?? 0) > before + 1)
  })
})
