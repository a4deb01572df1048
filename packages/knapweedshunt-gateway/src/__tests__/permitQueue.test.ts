import test from 'ava'
import { PermitQueue } from '../flow/permitQueue.ts'

test('requests use the limits of endpoints by priority, then by arrival', t => {
  const queue = new PermitQueue()
  const [late, urgent, early] = [{ pool: 'p', priority: 2 }, { pool: 'p', priority: 0 }, { pool: 'p', priority: 2 }]
  for (const waiter of [early, late, urgent]) queue.add(waiter)
  t.deepEqual([urgent, early, late].map(waiter => queue.countAhead(waiter)), [0, 1, 2])
  t.is(queue.countAhead({ pool: 'p', priority: 1 }), 1, 'a request that was not added')
  queue.remove(urgent)
  t.is(queue.countAhead(early), 0)
  t.is(queue.countAhead({ pool: 'other', priority: 5 }), 0)
})
