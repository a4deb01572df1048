import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { readElapsedMs } from '../readElapsedMs.ts'

test.serial('advances with the monotonic clock', t => {
  const clock = install()
  try {
    const before = readElapsedMs()
    clock.tick(5_000)
    t.is(readElapsedMs() - before, 5_000)
  } finally {
    clock.uninstall()
  }
})

test.serial('includes a suspension and never goes backwards', t => {
  const clock = install({ now: 1_000_000 })
  try {
    const before = readElapsedMs()
    clock.setSystemTime(1_004_000)
    t.true(Math.abs(readElapsedMs() - before - 4_000) < 1)
    clock.setSystemTime(900_000)
    t.true(readElapsedMs() - before >= 4_000 - 1)
    clock.tick(100)
    t.true(Math.abs(readElapsedMs() - before - 4_100) < 1)
  } finally {
    clock.uninstall()
  }
})
