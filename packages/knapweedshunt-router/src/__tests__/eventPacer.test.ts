import test from 'ava'
import { ParsingTurns } from 'knapweedshunt-utils'
import { EventPacer } from '../eventPacer.ts'

function runEvents (pacer: EventPacer, count: number): Promise<void> | null {
  return pacer.run(() => { for (let n = 0; n < count; n++) pacer.recordEvent() })
}

// Guards against tokens of a sound engine that wait.
test('events at the pace of an engine need no turn', t => {
  const pacer = new EventPacer()
  for (let n = 0; n < 900; n++) t.is(runEvents(pacer, 1), null)
})

// Guards against streams without an end whose events take all of the processor's time.
test('events beyond the pace of an engine take turns', async t => {
  const turns = new ParsingTurns()
  const pacer = new EventPacer(turns)
  t.is(runEvents(pacer, 2_000), null)
  const running = runEvents(pacer, 1)
  t.is(turns.waitingCount, 1)
  await running
  t.is(turns.waitingCount, 0)
})

test('an error of the work reaches its stream', async t => {
  const pacer = new EventPacer()
  runEvents(pacer, 2_000)
  await t.throwsAsync(async () => await pacer.run(() => { throw new Error('malformed') }), { message: 'malformed' })
})
