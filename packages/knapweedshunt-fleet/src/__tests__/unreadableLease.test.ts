import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_LEASE_OPTIONS } from '../leaseOptions.ts'
import { LEASE_TABLE } from '../leaseState.ts'
import type { LeaseRow } from '../leaseState.ts'
import { LeaseTask } from '../leaseTask.ts'

const NAME = 'fleet/a'
const { durationMs, intervalMs, maxCommandMs } = DEFAULT_LEASE_OPTIONS
const SOUND: LeaseRow = { holder: 'other', fencing: 7, durationMs, nonce: 'n' }

const UNREADABLE: Array<[string, unknown]> = [
  ['no JSON', undefined],
  ['null', null],
  ['text', 'x'],
  ['list', []],
  ['no fields', {}],
  ['odd holder', { ...SOUND, holder: 1 }],
  ['token as text', { ...SOUND, fencing: '7' }],
  ['token too large', { ...SOUND, fencing: 1e300 }],
  ['endless duration', { ...SOUND, durationMs: 1e300 }],
  ['nested', { ...SOUND, nonce: JSON.parse('['.repeat(50) + ']'.repeat(50)) }]
]

async function runWithClock (check: (clock: Clock, platform: MemoryPlatform) => Promise<void>): Promise<void> {
  const clock = install()
  try {
    await check(clock, new MemoryPlatform())
  } finally {
    clock.uninstall()
  }
}

async function overwrite (platform: MemoryPlatform, value: unknown): Promise<void> {
  await platform.transact({ checks: [], writes: [{ type: 'put', table: LEASE_TABLE, key: NAME, value }] })
}

async function readFencing (platform: MemoryPlatform): Promise<number> {
  return ((await platform.read(LEASE_TABLE, NAME))?.value as LeaseRow).fencing
}

for (const [name, value] of UNREADABLE) {
  // Guards against a task, and with it a process, that ends because of a lease row that cannot be read, and against a lease that is never taken again.
  test.serial(`a lease row that cannot be read is waited out: ${name}`, async t => {
    await runWithClock(async (clock, platform) => {
      for (let n = 0; n < 5; n++) await overwrite(platform, { ...SOUND, fencing: n })
      await overwrite(platform, value)
      const task = new LeaseTask(platform, NAME, 'own', DEFAULT_LEASE_OPTIONS)
      const abort = new AbortController()
      const running = task.run(abort.signal, () => true)
      running.catch(error => t.fail(String(error)))
      await clock.tickAsync(durationMs - intervalMs)
      t.is(task.readFencing(true), null)
      await clock.tickAsync(2 * intervalMs + maxCommandMs)
      t.true((task.readFencing(false) ?? 0) > 5)
      abort.abort()
      await clock.tickAsync(1_000)
      await t.notThrowsAsync(running)
    })
  })

  // Guards against a release that fails, and with it a process that ends, because another writer has replaced the row since the last renewal.
  test.serial(`a lease whose row became unreadable is given up: ${name}`, async t => {
    await runWithClock(async (clock, platform) => {
      const task = new LeaseTask(platform, NAME, 'own', DEFAULT_LEASE_OPTIONS)
      await task.runOnce()
      const fencing = await readFencing(platform)
      t.is(task.readFencing(true), fencing)
      await overwrite(platform, value)
      await t.notThrowsAsync(task.release())
      t.is(task.readFencing(true), null)
      for (let n = 0; n < 2 * durationMs / intervalMs; n++) {
        await clock.tickAsync(intervalMs)
        await task.runOnce()
      }
      t.true((task.readFencing(true) ?? 0) > fencing)
    })
  })
}
