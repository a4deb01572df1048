import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { runAsProcess, installProcessTimers } from '../../fuzz/processTimers.ts'

test.serial('timers of a paused process fire only after it resumes, and never after it has ended', async t => {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  const uninstallTimers = installProcessTimers()
  try {
    const paused = { isAlive: true, pausedUntilMs: 1_000 }
    const fired: string[] = []
    const recordFiring = (name: string) => () => fired.push(`${name} ${performance.now()}`)
    runAsProcess(paused, () => {
      setTimeout(recordFiring('paused'), 100)
      sleep(200).then(() => setTimeout(recordFiring('set after a sleep'), 50))
      const cleared = setTimeout(recordFiring('cleared'), 100)
      runAsProcess(null, () => setTimeout(() => clearTimeout(cleared), 500))
    })
    runAsProcess({ isAlive: false, pausedUntilMs: 0 }, () => setTimeout(recordFiring('ended'), 100))
    setTimeout(recordFiring('world'), 100)
    await clock.tickAsync(999)
    t.deepEqual(fired, ['world 100'])
    await clock.tickAsync(1_000)
    t.deepEqual(fired, ['world 100', 'paused 1000', 'set after a sleep 1050'])
  } finally {
    uninstallTimers()
    clock.uninstall()
  }
})
