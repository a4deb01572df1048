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

  takeTurn (): void {
    this.turnCount++
    this.usedMs += TURN_MS
    this.#turns.recordUsed(TURN_MS)
    if (this.turnCount < this.#maxTurns) this.#turns.enqueue(this)
  }
}

// Guards against connections that together take all the time of the process.
test.serial('turns take a quarter of the time, and once what was saved', async t => {
  const clock = installClock(t)
  const turns = new ParsingTurns()
  const connections = Array.from({ length: 10 }, () => new FakeConnection(turns))
  await clock.tickAsync(10_000)
  const usedMs = connections.reduce((sum, connection) => sum + connection.usedMs, 0)
  t.true(usedMs > 2_300 && usedMs < 2_750, `${usedMs} ms`)
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
