import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { LeaseTask } from '../leaseTask.ts'

const OPTIONS = { durationMs: 2_000, guardMs: 300, intervalMs: 500, maxCommandMs: 3_000 }

interface LeaseFixture { clock: Clock, platform: MemoryPlatform, first: LeaseTask, second: LeaseTask }

async function run (step: (fixture: LeaseFixture) => Promise<void>): Promise<void> {
  const clock = install({ now: 1_000_000 })
  try {
    const platform = new MemoryPlatform()
    await step({ clock, platform, first: new LeaseTask(platform, 'l', 'first', OPTIONS), second: new LeaseTask(platform, 'l', 'second', OPTIONS) })
  } finally {
    clock.uninstall()
  }
}

/** Steps a contender until it may send commands, and returns the time that took, in milliseconds; null on timeout. */
async function contendUntilHeld (clock: Clock, task: LeaseTask, timeoutMs: number): Promise<number | null> {
  for (let ms = 0; ms < timeoutMs; ms += 100) {
    task.runOnce().catch(() => {})
    await clock.tickAsync(100)
    if (task.readFencing(false) !== null) return ms
  }
  return null
}

test.serial('first lease holder does not wait', async t => {
  await run(async ({ clock, first }) => {
    t.is(await contendUntilHeld(clock, first, 500), 0)
  })
})

test.serial('holder suspended past the end of its lease may send no command', async t => {
  await run(async ({ clock, first }) => {
    await contendUntilHeld(clock, first, 500)
    t.not(first.readFencing(false), null)
    clock.setSystemTime(Date.now() + 4_000)
    t.is(first.readFencing(false), null)
  })
})

test.serial('a jump of the wall clock does not let a contender take a lease that is held', async t => {
  await run(async ({ clock, first, second }) => {
    await contendUntilHeld(clock, first, 500)
    second.runOnce().catch(() => {})
    await clock.tickAsync(100)
    clock.setSystemTime(Date.now() + 10_000)
    first.runOnce().catch(() => {})
    second.runOnce().catch(() => {})
    await clock.tickAsync(100)
    t.is(second.readFencing(true), null)
  })
})

test.serial('successor waits for the end of the lease and of the longest command', async t => {
  await run(async ({ clock, first, second }) => {
    await contendUntilHeld(clock, first, 500)
    let lastMs = 0
    while (second.readFencing(false) === null && performance.now() < 20_000) {
      if (first.readFencing(false) !== null) lastMs = performance.now()
      second.runOnce().catch(() => {})
      await clock.tickAsync(10)
    }
    const betweenMs = performance.now() - lastMs
    t.not(second.readFencing(false), null)
    t.true(betweenMs >= OPTIONS.maxCommandMs, `${betweenMs} ms between holders`)
  })
})

// Guards against two holders that send commands to one endpoint within the longest command's time, after a step of the wall clock.
test.serial('a jump of the wall clock does not shorten the wait for the longest command', async t => {
  await run(async ({ clock, first, second }) => {
    await contendUntilHeld(clock, first, 500)
    let lastMs = 0
    while (second.readFencing(true) === null && performance.now() < 20_000) {
      if (first.readFencing(false) !== null) lastMs = performance.now()
      second.runOnce().catch(() => {})
      await clock.tickAsync(10)
    }
    // Less than the rest of the lease, which may therefore still be held.
    clock.setSystemTime(Date.now() + 1_500)
    t.not(second.readFencing(true), null)
    t.is(second.readFencing(false), null)
    t.not(await contendUntilHeld(clock, second, 20_000), null)
    t.true(performance.now() - lastMs >= OPTIONS.maxCommandMs, `${performance.now() - lastMs} ms between holders`)
  })
})

test.serial('last holder takes the lease again at once, with a greater fencing number', async t => {
  await run(async ({ clock, first }) => {
    await contendUntilHeld(clock, first, 500)
    const before = first.readFencing(false)
    await clock.tickAsync(5_000)
    t.is(first.readFencing(true), null)
    t.is(await contendUntilHeld(clock, first, 500), 0)
    t.true(first.readFencing(false)! > before!)
  })
})

test.serial('successor of a released lease waits only for the rest of the longest command', async t => {
  await run(async ({ clock, first, second }) => {
    await contendUntilHeld(clock, first, 500)
    const fencing = await first.release()
    t.not(fencing, null)
    t.is(first.readFencing(true), null)
    const endedAtMs = performance.now()
    const ended = { fencing: fencing ?? 0, atMs: performance.now() }
    await clock.tickAsync(2_000)
    second.recordReleasedLease(ended)
    t.not(await contendUntilHeld(clock, second, 6_000), null)
    const waitedMs = performance.now() - endedAtMs
    t.true(waitedMs >= OPTIONS.maxCommandMs && waitedMs <= OPTIONS.maxCommandMs + 200, `${waitedMs} ms`)
  })
})

test.serial('notice of a release does not shorten the wait after the lease was taken again', async t => {
  await run(async ({ clock, first, second }) => {
    await contendUntilHeld(clock, first, 500)
    const fencing = await first.release() ?? 0
    const ended = { fencing, atMs: performance.now() }
    await clock.tickAsync(5_000)
    t.is(await contendUntilHeld(clock, first, 500), 0, 'the last holder may take the lease again at once')
    await first.release()
    const endedAtMs = performance.now()
    second.recordReleasedLease(ended)
    t.not(await contendUntilHeld(clock, second, 8_000), null)
    t.true(performance.now() - endedAtMs >= OPTIONS.maxCommandMs)
  })
})

test.serial('a lease that expired during the wait is not used before the wait is over', async t => {
  await run(async ({ clock, platform, first, second }) => {
    await contendUntilHeld(clock, first, 500)
    await first.release()
    const endedAtMs = performance.now()
    await contendUntilHeld(clock, second, 500)
    t.not(second.readFencing(true), null)
    platform.faults.down = true
    await clock.tickAsync(OPTIONS.durationMs)
    platform.faults.down = false
    t.is(second.readFencing(true), null)
    t.not(await contendUntilHeld(clock, second, 4_000), null)
    t.true(performance.now() - endedAtMs >= OPTIONS.maxCommandMs)
  })
})
