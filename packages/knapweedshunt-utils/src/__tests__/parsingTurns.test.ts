import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { ParsingTurns } from '../index.ts'
import type { ParsingConnection } from '../index.ts'

/** Time that a turn of these connections takes, in milliseconds. */
const TURN_MS = 1

function installClock (t: ExecutionContext): FakeTimers.Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'clearImmediate', 'performance'] })
  t.teardown(() => clock.uninstall())
  return clock
}

/** A connection that takes turns, and waits for the next one again if it is endless. */
class FakeConnection implements ParsingConnection {
  usedMs = 0
  turnCount = 0
  readonly #turns: ParsingTurns
  readonly #maxTurns: number

  constructor (turns: ParsingTurns, maxTurns = Infinity) {
    this.#turns = turns
    this.#maxTurns = maxTurns
    turns.enqueue(this)
  }

  takeTurn (): number {
    this.turnCount++
    this.usedMs += TURN_MS
    if (this.turnCount < this.#maxTurns) this.#turns.enqueue(this)
    return TURN_MS
  }
}

// Guards against connections that together take all the time of the process.
test.serial('each turn is followed by a rest as long, once what was saved is used', async t => {
  const clock = installClock(t)
  const turns = new ParsingTurns()
  const connections = Array.from({ length: 10 }, () => new FakeConnection(turns))
  await clock.tickAsync(10_000)
  const usedMs = connections.reduce((sum, connection) => sum + connection.usedMs, 0)
  t.true(usedMs > 9_500 && usedMs < 10_500, `${usedMs} ms`)
  t.true(Math.max(...connections.map(({ turnCount }) => turnCount)) < 2 * Math.min(...connections.map(({ turnCount }) => turnCount)))
})

// Guards against a short response that waits behind many without an end.
test.serial('a connection that has used little goes before those that have used much', async t => {
  const clock = installClock(t)
  const turns = new ParsingTurns()
  const endless = Array.from({ length: 200 }, () => new FakeConnection(turns))
  await clock.tickAsync(10_000)
  const short = new FakeConnection(turns, 10)
  await clock.tickAsync(200)
  t.is(short.turnCount, 10)
  t.true(endless.every(({ turnCount }) => turnCount > 0))
})

// Guards against a connection that waits for ever, as fresh ones use all the time there is.
test.serial('a connection goes on whatever fresh ones use', async t => {
  const clock = installClock(t)
  const turns = new ParsingTurns()
  const waiting = new FakeConnection(turns)
  waiting.usedMs = 1e6
  const fresh: FakeConnection[] = []
  for (let n = 0; n < 1_000; n++) {
    fresh.push(new FakeConnection(turns, 1))
    await clock.tickAsync(2)
  }
  t.true(waiting.turnCount >= 400, `${waiting.turnCount} turns`)
  t.true(fresh.filter(({ turnCount }) => turnCount === 1).length >= 990)
})

// Guards against a closed connection that is kept.
test.serial('a connection that was removed takes no turn', async t => {
  const clock = installClock(t)
  const turns = new ParsingTurns()
  const connection = new FakeConnection(turns)
  turns.remove(connection)
  await clock.tickAsync(100)
  t.is(connection.turnCount, 0)
  t.is(turns.waitingCount, 0)
})
