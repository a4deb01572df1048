import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_LEASE_OPTIONS } from '../leaseOptions.ts'
import { LEASE_TABLE } from '../leaseState.ts'
import type { LeaseRow } from '../leaseState.ts'
import { LeaseTask } from '../leaseTask.ts'

const NAME = 'waves'
const { durationMs, intervalMs } = DEFAULT_LEASE_OPTIONS

// Guards against a VM that never sends commands again because its lease was already another's when it released it.
test.serial('a lease can be taken again after a release that found another holder', async t => {
  const clock = install()
  try {
    const platform = new MemoryPlatform()
    const task = new LeaseTask(platform, NAME, 'own', DEFAULT_LEASE_OPTIONS)
    await task.runOnce()
    t.is(task.readFencing(true), 1)
    const value: LeaseRow = { holder: 'other', fencing: 2, durationMs, nonce: 'n' }
    await platform.transact({ checks: [], writes: [{ type: 'put', table: LEASE_TABLE, key: NAME, value }] })
    t.is(await task.release(), 1)
    for (let n = 0; n <= 2 * durationMs / intervalMs; n++) {
      await clock.tickAsync(intervalMs)
      await task.runOnce()
    }
    t.is(task.readFencing(true), 3)
  } finally {
    clock.uninstall()
  }
})
