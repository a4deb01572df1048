import test from 'ava'
import type { SuspectMark } from 'knapweedshunt-attempts'
import { UnacknowledgedMarks } from '../unacknowledgedMarks.ts'

const buildMark = (crashIds: string[]): SuspectMark => ({ type: 'crashed', fingerprint: 'f', crashes: crashIds.map(id => ({ ids: [id], endpoint: `e-${id}`, startedAgeMs: 200, crashedAgeMs: 100 })) })

// Guards against a peer that does not learn of a crash, as the mark before it failed to arrive and was put in its place.
test('a mark that was not acknowledged does not replace one that was added meanwhile', t => {
  const marks = new UnacknowledgedMarks()
  marks.add(buildMark(['first']), 0)
  const drained = marks.drain(0)
  marks.add(buildMark(['first', 'second']), 500)
  marks.restore(drained, 0, 1_000)
  const [mark, ...others] = marks.drain(1_000)
  t.deepEqual(others, [])
  t.deepEqual(mark.type === 'crashed' && mark.crashes.map(({ ids, crashedAgeMs }) => [ids[0], crashedAgeMs]), [['first', 600], ['second', 600]])
})

test('a mark that was not acknowledged is older when it is sent again', t => {
  const marks = new UnacknowledgedMarks()
  marks.add(buildMark(['first']), 0)
  marks.restore(marks.drain(0), 0, 1_000)
  const [mark] = marks.drain(1_500)
  t.is(mark.type === 'crashed' && mark.crashes[0].crashedAgeMs, 1_600)
})
