import test from 'ava'
import type { SuspectMark } from '../suspectMark.ts'
import { suspectMarkSchema } from '../suspectMark.ts'
import { SuspectRegistry } from '../suspectRegistry.ts'

const OPTIONS = { maxCrashes: 3, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10, doubt: null }

function createRegistries (): [SuspectRegistry, SuspectRegistry, SuspectRegistry] {
  return [new SuspectRegistry(OPTIONS), new SuspectRegistry(OPTIONS), new SuspectRegistry(OPTIONS)]
}

function send (mark: SuspectMark | null): SuspectMark {
  if (mark === null) throw new Error('There is no mark to send.')
  return JSON.parse(JSON.stringify(mark)) as SuspectMark
}

// Guards against a clearing that arrives late and takes away a crash that it does not know of.
test('a clearing leaves crashes that it does not name', t => {
  const [a, b, c] = createRegistries()
  const first = send(a.recordCrash('f', 'e1', performance.now() - 10))
  b.applyMark(first)
  c.applyMark(first)
  const cleared = send(b.recordSuccess('f'))
  c.recordCrash('f', 'e2', performance.now() - 10)
  c.applyMark(cleared)
  t.is(c.check('f').type, 'suspect')
  t.is(c.countCrashes('f'), 1)
})

// Guards against a crash that counts again because its mark is read after the mark that cleared it.
test('a clearing that arrives before its crash holds', t => {
  const [a, b, c] = createRegistries()
  const crashed = send(a.recordCrash('f', 'e1', performance.now() - 10))
  b.applyMark(crashed)
  c.applyMark(send(b.recordSuccess('f')))
  c.applyMark(crashed)
  t.is(c.check('f').type, 'clear')
})

// Guards against one crash that counts twice because its mark comes again later.
test('a crash that several marks name counts once, however late they arrive', t => {
  const [a, b] = createRegistries()
  const first = send(a.recordCrash('f', 'e1', performance.now() - 10))
  b.applyMark(first)
  const aged = { ...first, ...first.type === 'crashed' && { crashes: first.crashes.map(crash => ({ ...crash, startedAgeMs: crash.startedAgeMs + 9_000, crashedAgeMs: crash.crashedAgeMs + 9_000 })) } } as SuspectMark
  b.applyMark(aged)
  t.is(b.countCrashes('f'), 1)
})

test('a mark of a build without crash ids counts', t => {
  const [a] = createRegistries()
  for (const endpoint of ['e1', 'e2', 'e3']) a.applyMark(suspectMarkSchema.parse({ type: 'crashed', fingerprint: 'f', crashes: [{ endpoint, startedAgeMs: 20, crashedAgeMs: 0 }] }))
  t.is(a.check('f').type, 'quarantined')
  t.deepEqual(suspectMarkSchema.parse({ type: 'cleared', fingerprint: 'f' }), { type: 'cleared', fingerprint: 'f', crashIds: [] })
})

// Guards against a quarantine that a VM which starts does not learn of, as an earlier build told it without its crashes.
test('a quarantine that was told without its crashes is passed on', t => {
  const [a, b] = createRegistries()
  a.applyMark({ type: 'quarantined', fingerprint: 'f', forMs: 500_000 })
  a.recordCrash('f', 'e1', performance.now() - 10)
  for (const mark of a.listMarks()) b.applyMark(send(mark))
  t.is(b.check('f').type, 'quarantined')
})

test('the number of crashes held for a request is limited', t => {
  const [a] = createRegistries()
  for (let n = 0; n < 300; n++) a.recordCrash('f', `e${n}`, performance.now() - 10)
  t.true(a.countCrashes('f') <= 64)
  t.is(a.check('f').type, 'quarantined')
})
