import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_GUARDED_PLATFORM_OPTIONS, GuardedPlatform, PlatformRefusedError, PlatformUnreachableError, PlatformUnsentError } from 'knapweedshunt-platform'

const CALL_COUNT = 100

async function countCalls (platform: GuardedPlatform): Promise<{ answered: number, unsent: number, lost: number }> {
  const counts = { answered: 0, unsent: 0, lost: 0 }
  const calls = Array.from({ length: CALL_COUNT }, () => platform.transact({ checks: [], writes: [] }).then(
    () => { counts.answered++ },
    error => { counts[error instanceof PlatformUnsentError ? 'unsent' : 'lost']++ }
  ))
  await Promise.all(calls)
  return counts
}

test.serial('writes stay within their rate limit, and calls over it are not sent', async t => {
  const clock = FakeTimers.install()
  try {
    const memory = new MemoryPlatform()
    const platform = new GuardedPlatform(memory, { ...DEFAULT_GUARDED_PLATFORM_OPTIONS, writes: { ratePerS: 20, burst: 5 } })
    const done = countCalls(platform)
    await clock.tickAsync(2_000)
    t.deepEqual(await done, { answered: 25, unsent: 75, lost: 0 })
    t.is(memory.counts.writes, 25)
  } finally {
    clock.uninstall()
  }
})

test.serial('an unresponsive platform is not called, and is called again after it recovers', async t => {
  const clock = FakeTimers.install()
  try {
    const memory = new MemoryPlatform()
    const platform = new GuardedPlatform(memory)
    memory.faults.delayMs = 60_000
    for (let failures = 0; failures < DEFAULT_GUARDED_PLATFORM_OPTIONS.breaker.failureThreshold; failures++) {
      const call = t.throwsAsync(platform.transact({ checks: [], writes: [] }), { instanceOf: PlatformUnreachableError })
      await clock.tickAsync(DEFAULT_GUARDED_PLATFORM_OPTIONS.timeoutMs)
      await call
    }
    t.false(platform.isReachable())
    await t.throwsAsync(platform.transact({ checks: [], writes: [] }), { instanceOf: PlatformUnsentError })
    memory.faults.delayMs = 0
    await clock.tickAsync(DEFAULT_GUARDED_PLATFORM_OPTIONS.breaker.openMs * 2)
    t.is((await platform.transact({ checks: [], writes: [] })).type, 'committed')
    t.true(platform.isReachable())
  } finally {
    clock.uninstall()
  }
})

test('a call rejected by the platform does not open the circuit breaker', async t => {
  const memory = new MemoryPlatform()
  memory.read = () => Promise.reject(new PlatformRefusedError('Malformed read.'))
  const platform = new GuardedPlatform(memory, { ...DEFAULT_GUARDED_PLATFORM_OPTIONS, breaker: { failureThreshold: 1, openMs: 1_000 } })
  await t.throwsAsync(platform.read('orders', ''), { instanceOf: PlatformRefusedError })
  t.true(platform.isReachable())
})
