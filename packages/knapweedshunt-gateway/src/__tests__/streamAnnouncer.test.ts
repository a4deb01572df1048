import { setMaxListeners } from 'node:events'
import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { StreamAnnouncer } from '../peers/streamAnnouncer.ts'

const VIEW = { vm: 'vm-1', dataCentre: 'z1', address: { url: '', key: '1' } }

// Guards against a VM without processor time that gets more calls the longer it does not answer.
test.serial('a VM that does not answer gets one call at a time, and all streams once it answers', async t => {
  const clock = install()
  const abort = new AbortController()
  setMaxListeners(0, abort.signal)
  let [calls, inFlight, mostInFlight, told, isAnswering] = [0, 0, 0, 0, false]
  const call = async (): Promise<unknown> => {
    calls++
    mostInFlight = Math.max(mostInFlight, ++inFlight)
    await new Promise(resolve => setTimeout(resolve, isAnswering ? 60 : 250))
    inFlight--
    if (!isAnswering) throw new Error('no answer')
    return {}
  }
  const announcer = new StreamAnnouncer({ signal: abort.signal, call, getRetentionMs: () => 18_000, onFailed: () => {} })
  const announceFor = async (durationMs: number) => {
    for (let ms = 0; ms < durationMs; ms += 10) {
      announcer.add(VIEW, 'p', { key: String(clock.now), softwareVersion: 'v1', mustStore: true }).then(() => told++, () => {})
      await clock.tickAsync(10)
    }
  }
  try {
    await announceFor(1_000)
    t.true(mostInFlight <= 4, `${mostInFlight} calls at once`)
    ;[calls, mostInFlight] = [0, 0]
    await announceFor(3_000)
    t.true(calls <= 5, `${calls} calls in 3 s`)
    t.is(mostInFlight, 1)
    t.is(told, 0)
    isAnswering = true
    await announceFor(1_000)
    await clock.tickAsync(1_000)
    t.is(told, 500)
  } finally {
    abort.abort()
    clock.uninstall()
  }
})
