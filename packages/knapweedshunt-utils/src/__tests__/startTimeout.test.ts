import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { startTimeout } from '../index.ts'

const TIMEOUT_MS = 250

test.serial('a timeout runs out once, unless it is stopped', async t => {
  const clock = install()
  t.teardown(() => clock.uninstall())
  let count = 0
  const stop = startTimeout(TIMEOUT_MS, () => count++)
  const stopOther = startTimeout(TIMEOUT_MS, () => { count += 10 })
  await clock.tickAsync(TIMEOUT_MS - 1)
  t.is(count, 0)
  stopOther()
  await clock.tickAsync(TIMEOUT_MS)
  t.is(count, 1)
  stop()
})

// Guards against a timeout that runs out although what it waits for was read in the same turn of the event loop.
test.serial('a timeout that is stopped between its timer and the reading of arrivals does not run out', async t => {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  let count = 0
  const stop = startTimeout(TIMEOUT_MS, () => count++)
  clock.tick(TIMEOUT_MS)
  stop()
  await new Promise(resolve => setImmediate(resolve))
  t.is(count, 0)
})

for (const { heldUpMs, extraMs } of [{ heldUpMs: 100, extraMs: 100 }, { heldUpMs: 10_000, extraMs: TIMEOUT_MS }]) {
  test.serial(`a timeout is longer by the time for which the process was late, twice as long at most: ${heldUpMs} ms`, async t => {
    const clock = install()
    t.teardown(() => clock.uninstall())
    let count = 0
    startTimeout(TIMEOUT_MS, () => count++)
    clock.jump(TIMEOUT_MS + heldUpMs)
    await clock.tickAsync(extraMs - 1)
    t.is(count, 0)
    await clock.tickAsync(2)
    t.is(count, 1)
  })
}
