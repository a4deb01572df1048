import test from 'ava'
import { joinMarks } from '../joinMarks.ts'
import type { SuspectMark } from '../suspectMark.ts'

function buildCrashed (...ids: string[]): SuspectMark {
  return { type: 'crashed', fingerprint: 'f', crashes: ids.map(id => ({ ids: [id], endpoint: `e-${id}`, startedAgeMs: 20, crashedAgeMs: 10 })) }
}

const buildCleared = (...crashIds: string[]): SuspectMark => ({ type: 'cleared', fingerprint: 'f', crashIds })

// Guards against crashes that count for ever at a peer which had not read their clearing when the next one replaced it.
test('a clearing that follows another one names the crashes of both', t => {
  t.deepEqual(joinMarks([buildCleared('a')], buildCleared('b')), [buildCleared('a', 'b')])
})

// Guards against the same with a crash that follows the clearing.
test('a crash that follows a clearing leaves it', t => {
  t.deepEqual(joinMarks([buildCleared('a')], buildCrashed('b')), [buildCleared('a'), buildCrashed('b')])
})

test('a clearing removes the crashes that it names from the mark of crashes', t => {
  t.deepEqual(joinMarks([buildCrashed('a', 'b')], buildCleared('a')), [buildCleared('a'), buildCrashed('b')])
  t.deepEqual(joinMarks([buildCrashed('a')], buildCleared('a')), [buildCleared('a')])
})

test('a mark of crashes replaces the one before', t => {
  t.deepEqual(joinMarks([buildCrashed('a')], buildCrashed('a', 'b')), [buildCrashed('a', 'b')])
})

test('a quarantine of which crashes are cleared is told as the crashes that are left', t => {
  const { crashes } = buildCrashed('a', 'b', 'c') as Extract<SuspectMark, { type: 'crashed' }>
  t.deepEqual(joinMarks([{ type: 'quarantined', fingerprint: 'f', forMs: 1_000, crashes }], buildCleared('b')), [buildCleared('b'), buildCrashed('a', 'c')])
})

test('the number of crashes that a clearing names is limited', t => {
  const ids = Array.from({ length: 200 }, (_, n) => `c${n}`)
  const [joined] = joinMarks([buildCleared(...ids)], buildCleared('last'))
  t.true(joined.type === 'cleared' && joined.crashIds.length <= 64 && joined.crashIds.includes('last'))
})
