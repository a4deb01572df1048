import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { readElapsedMs } from 'knapweedshunt-utils'
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

test.serial('successor of a lease that was given up waits for the rest of the longest order only', async t => {
  await run(async ({ clock, first, second }) => {
    await contend(clock, first, 500)
    const fencing = await first.release()
    t.not(fencing, null)
    t.is(first.readFencing(true), null)
    const endedAtMs = performance.now()
    const ended = { fencing: fencing ?? 0, atMs: readElapsedMs() }
    await clock.tickAsync(2_000)
    second.noteEnded(ended)
    t.not(await contend(clock, second, 6_000), null)
    const waitedMs = performance.now() - endedAtMs
    t.true(waitedMs >= OPTIONS.longestOrderMs && waitedMs <= OPTIONS.longestOrderMs + 200, `${waitedMs} ms`)
  })
})

test.serial('a lease that was taken again since is waited out whole', async t => {
  await run(async ({ clock, first, second }) => {
    await contend(clock, first, 500)
    const fencing = await first.release() ?? 0
    const ended = { fencing, atMs: readElapsedMs() }
    await clock.tickAsync(5_000)
    t.is(await contend(clock, first, 500), 0, 'its last holder may take it again at once')
    await first.release()
    const endedAtMs = performance.now()
    second.noteEnded(ended)
    t.not(await contend(clock, second, 8_000), null)
    t.true(performance.now() - endedAtMs >= OPTIONS.longestOrderMs)
  })
})

test.serial('a lease that lapsed before the wait was over is not taken without it', async t => {
  await run(async ({ clock, platform, first, second }) => {
    await contend(clock, first, 500)
    await first.release()
    const endedAtMs = performance.now()
    await contend(clock, second, 500)
    t.not(second.readFencing(true), null)
    platform.faults.down = true
    await clock.tickAsync(OPTIONS.durationMs)
    platform.faults.down = false
    t.is(second.readFencing(true), null)
    t.not(await contend(clock, second, 4_000), null)
    t.true(performance.now() - endedAtMs >= OPTIONS.longestOrderMs)
  })
})
