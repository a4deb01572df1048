import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { LeaseTask } from '../leaseTask.ts'

const OPTIONS = { durationMs: 2_000, guardMs: 300, intervalMs: 500, longestOrderMs: 3_000 }

interface Scene { clock: Clock, platform: MemoryPlatform, first: LeaseTask, second: LeaseTask }

async function run (step: (scene: Scene) => Promise<void>): Promise<void> {
  const clock = install({ now: 1_000_000 })
  try {
    const platform = new MemoryPlatform()
    await step({ clock, platform, first: new LeaseTask(platform, 'l', 'first', OPTIONS), second: new LeaseTask(platform, 'l', 'second', OPTIONS) })
  } finally {
    clock.uninstall()
  }
}

/** Steps a contender for a time; returns when it first might give orders, in milliseconds, or null. */
async function contend (clock: Clock, task: LeaseTask, forMs: number): Promise<number | null> {
  for (let ms = 0; ms < forMs; ms += 100) {
    task.step().catch(() => {})
    await clock.tickAsync(100)
    if (task.readFencing(false) !== null) return ms
  }
  return null
}

test.serial('first holder waits for nobody', async t => {
  await run(async ({ clock, first }) => {
    t.is(await contend(clock, first, 500), 0)
  })
})

test.serial('holder that was suspended across its lease gives no order', async t => {
  await run(async ({ clock, first }) => {
    await contend(clock, first, 500)
    t.not(first.readFencing(false), null)
    clock.setSystemTime(Date.now() + 4_000)
    t.is(first.readFencing(false), null)
  })
})

test.serial('step of the time of day does not make a contender take a lease that is held', async t => {
  await run(async ({ clock, first, second }) => {
    await contend(clock, first, 500)
    second.step().catch(() => {})
    await clock.tickAsync(100)
    clock.setSystemTime(Date.now() + 10_000)
    first.step().catch(() => {})
    second.step().catch(() => {})
    await clock.tickAsync(100)
    t.is(second.readFencing(true), null)
  })
})

test.serial('successor waits out the lease and the longest order', async t => {
  await run(async ({ clock, first, second }) => {
    await contend(clock, first, 500)
    let lastMs = 0
    while (second.readFencing(false) === null && performance.now() < 20_000) {
      if (first.readFencing(false) !== null) lastMs = performance.now()
      second.step().catch(() => {})
      await clock.tickAsync(10)
    }
    const betweenMs = performance.now() - lastMs
    t.not(second.readFencing(false), null)
    t.true(betweenMs >= OPTIONS.longestOrderMs, `${betweenMs} ms between holders`)
  })
})

test.serial('last holder goes on at once with a greater number', async t => {
  await run(async ({ clock, first }) => {
    await contend(clock, first, 500)
    const before = first.readFencing(false)
    await clock.tickAsync(5_000)
    t.is(first.readFencing(true), null)
    t.is(await contend(clock, first, 500), 0)
    t.true(first.readFencing(false)! > before!)
  })
})
