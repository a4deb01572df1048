import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { actAs, freezeTimers } from '../../fuzz/ownTimers.ts'

test.serial('timers stand still with their process', async t => {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  const thaw = freezeTimers()
  try {
    const paused = { alive: true, pausedUntilMs: 1_000 }
    const fired: string[] = []
    const note = (name: string) => () => fired.push(`${name} ${performance.now()}`)
    actAs(paused, () => {
      setTimeout(note('paused'), 100)
      sleep(200).then(() => setTimeout(note('set after a wait'), 50))
      const cleared = setTimeout(note('cleared'), 100)
      actAs(null, () => setTimeout(() => clearTimeout(cleared), 500))
    })
    actAs({ alive: false, pausedUntilMs: 0 }, () => setTimeout(note('ended'), 100))
    setTimeout(note('world'), 100)
    await clock.tickAsync(999)
    t.deepEqual(fired, ['world 100'])
    await clock.tickAsync(1_000)
    t.deepEqual(fired, ['world 100', 'paused 1000', 'set after a wait 1050'])
  } finally {
    thaw()
    clock.uninstall()
  }
})
