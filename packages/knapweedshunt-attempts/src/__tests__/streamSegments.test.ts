import test from 'ava'
import { StreamSegments } from '../streamSegments.ts'
import { runWithClock } from './runWithClock.ts'

const RETENTION_MS = 8_000

function runWithSegments (run: (segments: StreamSegments, tick: (ms: number) => void, evicted: number[]) => void): void {
  const evicted: number[] = []
  runWithClock(tick => run(new StreamSegments({ idPrefix: 'vm/1/', getRetentionMs: () => RETENTION_MS, onEvicted: count => evicted.push(count) }), tick, evicted))
}

function buildStream (n: number) {
  return { key: `k${n}`, pool: 'p', softwareVersion: 'v1' }
}

test.serial('a write holds the open segment only', t => {
  runWithSegments((segments, tick) => {
    segments.add(buildStream(1))
    t.deepEqual(segments.takeChanges(), { changed: [{ id: 'vm/1/1', streams: [buildStream(1)] }], removedIds: [] })
    segments.add(buildStream(2))
    t.deepEqual(segments.takeChanges().changed.map(({ streams }) => streams.length), [2])
    tick(RETENTION_MS / 4 + 1)
    segments.add(buildStream(3))
    t.deepEqual(segments.takeChanges().changed, [{ id: 'vm/1/2', streams: [buildStream(3)] }])
    t.false(segments.hasChanges)
  })
})

test.serial('a stream is added once', t => {
  runWithSegments(segments => {
    segments.add(buildStream(1))
    segments.takeChanges()
    segments.add(buildStream(1))
    t.false(segments.hasChanges)
    t.is(segments.size, 1)
  })
})

test.serial('a segment is removed after the retention, an adopted one too', t => {
  runWithSegments((segments, tick) => {
    segments.adopt({ id: 'vm/0/1', streams: [buildStream(0)] })
    segments.add(buildStream(1))
    segments.takeChanges()
    tick(RETENTION_MS)
    t.false(segments.hasChanges)
    tick(1)
    t.deepEqual(segments.takeChanges(), { changed: [], removedIds: ['vm/0/1', 'vm/1/1'] })
    t.is(segments.size, 0)
  })
})

// Guards against a write that is carried out late and undoes a later one.
test.serial('a segment whose write failed gets no further streams', t => {
  runWithSegments(segments => {
    segments.add(buildStream(1))
    segments.handleUnwritten(segments.takeChanges())
    segments.add(buildStream(2))
    t.deepEqual(segments.takeChanges().changed, [{ id: 'vm/1/1', streams: [buildStream(1)] }, { id: 'vm/1/2', streams: [buildStream(2)] }])
  })
})

test.serial('a removal whose write failed is tried again', t => {
  runWithSegments((segments, tick) => {
    segments.add(buildStream(1))
    segments.takeChanges()
    tick(RETENTION_MS + 1)
    segments.handleUnwritten(segments.takeChanges())
    t.deepEqual(segments.takeChanges().removedIds, ['vm/1/1'])
  })
})

test.serial('the oldest segment is dropped when there are too many, and transactions stay small', t => {
  runWithSegments((segments, _tick, evicted) => {
    for (let n = 0; n < 41 * 512; n++) segments.add(buildStream(n))
    t.deepEqual(evicted, [512])
    t.is(segments.size, 40 * 512)
    const { changed, removedIds } = segments.takeChanges()
    t.deepEqual([changed.length, removedIds], [20, ['vm/1/1']])
  })
})

test.serial('all segments are written again after the store has lost writes', t => {
  runWithSegments(segments => {
    segments.add(buildStream(1))
    segments.takeChanges()
    segments.resetWritten()
    t.deepEqual(segments.takeChanges().changed.map(({ id }) => id), ['vm/1/1'])
  })
})
