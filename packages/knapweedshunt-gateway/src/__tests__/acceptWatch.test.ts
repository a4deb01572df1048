import { setImmediate } from 'node:timers/promises'
import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { AcceptWatch } from '../callers/acceptWatch.ts'

test('the backlog lasts until a turn accepts no connection', async t => {
  const watch = new AcceptWatch()
  t.is(watch.takeMaxBacklogMs(), 0)
  const startMs = performance.now()
  while (performance.now() - startMs < 100) {
    watch.recordAccepted()
    await setImmediate()
  }
  const backlogMs = performance.now() - startMs
  await sleep(200)
  const maxMs = watch.takeMaxBacklogMs()
  t.true(maxMs >= 99 && maxMs <= backlogMs, `${maxMs} of ${backlogMs} ms`)
  t.is(watch.takeMaxBacklogMs(), 0)
})
