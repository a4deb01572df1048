import test from 'ava'
import { selectStoringWriters, selectStreamWriters } from '../selectStreamWriters.ts'

function buildCandidates (count: number, dataCentres = 3) {
  return Array.from({ length: count }, (_, n) => ({ vm: `vm-${n}`, dataCentre: `z${n % dataCentres}` }))
}

test('few VMs write streams, however many there are', t => {
  t.deepEqual([1, 3, 8, 64, 400, 1_000].map(count => selectStreamWriters(buildCandidates(count)).length), [1, 3, 4, 8, 50, 50])
})

test('writers are the same at all VMs and in different data centres', t => {
  const candidates = buildCandidates(8)
  const writers = selectStreamWriters(candidates)
  t.deepEqual(selectStreamWriters([...candidates].reverse()), writers)
  t.is(new Set(writers.slice(0, 3).map(({ dataCentre }) => dataCentre)).size, 3)
})

test('two writers store a stream, and all of them store some', t => {
  const writers = selectStreamWriters(buildCandidates(8))
  const storing = Array.from({ length: 200 }, (_, n) => selectStoringWriters(`k${n}`, writers))
  t.true(storing.every(selected => new Set(selected).size === 2))
  t.is(new Set(storing.flat()).size, 4)
})
