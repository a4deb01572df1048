import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_GUARD_OPTIONS, GuardedPlatform, PlatformRefusedError, PlatformUnreachableError, PlatformUnsentError } from 'knapweedshunt-platform'

const CALLS = 100

async function countCalls (platform: GuardedPlatform): Promise<{ answered: number, unsent: number, lost: number }> {
  const count = { answered: 0, unsent: 0, lost: 0 }
  const calls = Array.from({ length: CALLS }, () => platform.transact({ checks: [], writes: [] }).then(
    () => { count.answered++ },
    error => { count[error instanceof PlatformUnsentError ? 'unsent' : 'lost']++ }
  ))
  await Promise.all(calls)
  return count
}

test.serial('writes keep to their budget, and the rest is not sent', async t => {
  const clock = FakeTimers.install()
  try {
    const memory = new MemoryPlatform()
    const platform = new GuardedPlatform(memory, { ...DEFAULT_GUARD_OPTIONS, writes: { ratePerS: 20, burst: 5 } })
    const done = countCalls(platform)
    await clock.tickAsync(2_000)
    t.deepEqual(await done, { answered: 25, unsent: 75, lost: 0 })
    t.is(memory.counts.writes, 25)
  } finally {
    clock.uninstall()
  }
})

test.serial('a dead store is not called, and is found again', async t => {
  const clock = FakeTimers.install()
  try {
    const memory = new MemoryPlatform()
    const platform = new GuardedPlatform(memory)
    memory.faults.delayMs = 60_000
    for (let failures = 0; failures < DEFAULT_GUARD_OPTIONS.breaker.failures; failures++) {
      const call = t.throwsAsync(platform.transact({ checks: [], writes: [] }), { instanceOf: PlatformUnreachableError })
      await clock.tickAsync(DEFAULT_GUARD_OPTIONS.timeoutMs)
      await call
    }
    t.false(platform.isAnswering())
    await t.throwsAsync(platform.transact({ checks: [], writes: [] }), { instanceOf: PlatformUnsentError })
    memory.faults.delayMs = 0
    await clock.tickAsync(DEFAULT_GUARD_OPTIONS.breaker.openMs * 2)
    t.is((await platform.transact({ checks: [], writes: [] })).type, 'committed')
    t.true(platform.isAnswering())
  } finally {
    clock.uninstall()
  }
})

test('a refusal by the store does not open the breaker', async t => {
  const memory = new MemoryPlatform()
  memory.read = () => Promise.reject(new PlatformRefusedError('Malformed.'))
  const platform = new GuardedPlatform(memory, { ...DEFAULT_GUARD_OPTIONS, breaker: { failures: 1, openMs: 1_000 } })
  await t.throwsAsync(platform.read('orders', ''), { instanceOf: PlatformRefusedError })
  t.true(platform.isAnswering())
})
